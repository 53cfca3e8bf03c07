//! The accounts of one holder, with the total lent at each endpoint.

use std::collections::BTreeMap;

use crate::name::InstanceId;

use super::account::Account;

/// A gateway and its incarnation.
pub(super) type AccountKey = (InstanceId, u64);

/// Accounts by gateway incarnation, and the slots that they hold at each
/// endpoint in total.
#[derive(Clone, Debug, Default)]
pub(super) struct Ledger {
    accounts: BTreeMap<AccountKey, Account>,
    lent: BTreeMap<InstanceId, u32>,
}

impl Ledger {
    /// Adds an account, or replaces the one with the same key.
    pub(super) fn replace(&mut self, key: AccountKey, account: Account) {
        self.remove(&key);
        for (endpoint, holding) in &account.holdings {
            *self.lent.entry(endpoint.clone()).or_default() += holding.count;
        }
        self.accounts.insert(key, account);
    }

    /// Removes the accounts whose lease ended at or before `lease_end_ms`.
    pub(super) fn remove_ended(&mut self, lease_end_ms: u64) {
        let ended: Vec<AccountKey> = self
            .accounts
            .iter()
            .filter(|(_, account)| account.lease_end_ms <= lease_end_ms)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &ended {
            self.remove(key);
        }
    }

    /// Returns the newest of a gateway's incarnations that have an account, and
    /// that account.
    pub(super) fn newest(&self, gateway: &InstanceId) -> Option<(u64, &Account)> {
        self.accounts
            .range((gateway.clone(), 0)..=(gateway.clone(), u64::MAX))
            .next_back()
            .map(|((_, incarnation), account)| (*incarnation, account))
    }

    /// Returns the slots lent at an endpoint.
    pub(super) fn lent(&self, endpoint: &InstanceId) -> u32 {
        self.lent.get(endpoint).copied().unwrap_or(0)
    }

    /// Returns the slots lent at an endpoint to gateways whose last report named
    /// `term` as the holder's term.
    pub(super) fn lent_in_term(&self, endpoint: &InstanceId, term: u64) -> u32 {
        let accounts = self.accounts.values();
        let of_term = accounts.filter(|account| account.holder_term == Some(term));
        of_term.map(|account| account.count_at(endpoint)).sum()
    }

    /// Iterates over the accounts, ordered by gateway and incarnation.
    pub(super) fn accounts(&self) -> impl Iterator<Item = (&AccountKey, &Account)> {
        self.accounts.iter()
    }

    fn remove(&mut self, key: &AccountKey) {
        let Some(account) = self.accounts.remove(key) else {
            return;
        };
        for (endpoint, holding) in &account.holdings {
            self.subtract(endpoint, holding.count);
        }
    }

    fn subtract(&mut self, endpoint: &InstanceId, count: u32) {
        let Some(lent) = self.lent.get_mut(endpoint) else {
            return;
        };
        *lent -= count;
        if *lent == 0 {
            self.lent.remove(endpoint);
        }
    }
}
