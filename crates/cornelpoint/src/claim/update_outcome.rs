use super::row::ClaimRow;
use super::row::ClaimState;
use super::row_update::Purpose;
use super::row_update::RowUpdate;
use super::row_update::RowVersion;
use crate::platform::Row;

/// Outcome of an update, as the store's rows show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum UpdateOutcome {
    /// The update took effect.
    Applied(RowVersion),
    /// The update did not take effect, but can be retried on condition of these
    /// rows.
    Retry(Vec<RowVersion>),
    /// Another claim holds the key for the same request.
    HeldByOther(ClaimRow),
    /// Another claim holds the key for another request.
    KeyReused,
    /// The update can't take effect any more, or a row can't be decoded.
    Impossible,
}

struct StoredClaim {
    version: RowVersion,
    row: ClaimRow,
}

/// Determines the outcome of an update from all rows of its name that the store
/// holds.
pub(super) fn evaluate(update: &RowUpdate, rows: &[&Row]) -> UpdateOutcome {
    let mut claims = Vec::new();
    for row in rows {
        match ClaimRow::decode(&row.value) {
            Ok(claim) => claims.push(StoredClaim {
                version: RowVersion::from(*row),
                row: claim,
            }),
            Err(_) => return UpdateOutcome::Impossible,
        }
    }
    let own = claims.iter().find(|c| c.row.is_same_claim(&update.row));
    match (update.purpose, own) {
        (Purpose::Claim(_) | Purpose::AbandonedClaim, Some(own)) => claim_outcome(own),
        (Purpose::Release | Purpose::Settle, Some(own)) => settle_outcome(update, own, &claims),
        (Purpose::Settle, None) => UpdateOutcome::Impossible,
        (_, None) => other_claims_outcome(update, &claims),
    }
}

fn claim_outcome(own: &StoredClaim) -> UpdateOutcome {
    match own.row.state {
        ClaimState::Claimed => UpdateOutcome::Applied(own.version.clone()),
        ClaimState::Answered { .. } | ClaimState::Unresolved | ClaimState::Released => {
            UpdateOutcome::Impossible
        }
    }
}

fn settle_outcome(update: &RowUpdate, own: &StoredClaim, claims: &[StoredClaim]) -> UpdateOutcome {
    if own.row.state == update.row.state {
        return UpdateOutcome::Applied(own.version.clone());
    }
    match (own.row.state == ClaimState::Claimed, update.purpose) {
        (true, Purpose::Release) => UpdateOutcome::Retry(all_versions(claims)),
        (true, _) => UpdateOutcome::Retry(vec![own.version.clone()]),
        (false, _) => UpdateOutcome::Impossible,
    }
}

fn other_claims_outcome(update: &RowUpdate, claims: &[StoredClaim]) -> UpdateOutcome {
    let fingerprint = update.row.fingerprint;
    if claims.iter().any(|c| c.row.fingerprint != fingerprint) {
        return UpdateOutcome::KeyReused;
    }
    let is_held = |claim: &&StoredClaim| claim.row.state != ClaimState::Released;
    match claims.iter().find(is_held) {
        Some(held) => UpdateOutcome::HeldByOther(held.row.clone()),
        None => UpdateOutcome::Retry(all_versions(claims)),
    }
}

fn all_versions(claims: &[StoredClaim]) -> Vec<RowVersion> {
    claims.iter().map(|c| c.version.clone()).collect()
}
