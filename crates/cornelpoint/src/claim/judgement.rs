use super::row::ClaimRow;
use super::row::ClaimState;
use super::update::FoundRow;
use super::update::Purpose;
use super::update::Update;
use crate::platform::Row;

/// What the store's rows say of an update.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// The update took effect.
    Done(FoundRow),
    /// It did not; it may, on these rows.
    TryAgain(Vec<FoundRow>),
    /// Another claim holds the key for the same request.
    HeldByOther(ClaimRow),
    /// Another claim holds the key for another request.
    KeyReused,
    /// It cannot take effect.
    Impossible,
}

struct StoredClaim {
    found: FoundRow,
    row: ClaimRow,
}

/// Judges an update by all rows that its place has in the store.
pub(super) fn judge(update: &Update, rows: &[&Row]) -> Judgement {
    let mut claims = Vec::new();
    for row in rows {
        match ClaimRow::decode(&row.value) {
            Ok(claim) => claims.push(StoredClaim {
                found: FoundRow::from(*row),
                row: claim,
            }),
            Err(_) => return Judgement::Impossible,
        }
    }
    let own = claims.iter().find(|c| c.row.is_same_claim(&update.row));
    match (update.purpose, own) {
        (Purpose::Claim(_) | Purpose::AbandonedClaim, Some(own)) => judge_own_claim(own),
        (Purpose::Release | Purpose::Settle, Some(own)) => judge_own_end(update, own, &claims),
        (Purpose::Settle, None) => Judgement::Impossible,
        (_, None) => judge_others(update, &claims),
    }
}

fn judge_own_claim(own: &StoredClaim) -> Judgement {
    match own.row.state {
        ClaimState::Claimed => Judgement::Done(own.found.clone()),
        ClaimState::Answered { .. } | ClaimState::Unresolved | ClaimState::Released => {
            Judgement::Impossible
        }
    }
}

fn judge_own_end(update: &Update, own: &StoredClaim, claims: &[StoredClaim]) -> Judgement {
    if own.row.state == update.row.state {
        return Judgement::Done(own.found.clone());
    }
    match (own.row.state == ClaimState::Claimed, update.purpose) {
        (true, Purpose::Release) => Judgement::TryAgain(all_found(claims)),
        (true, _) => Judgement::TryAgain(vec![own.found.clone()]),
        (false, _) => Judgement::Impossible,
    }
}

fn judge_others(update: &Update, claims: &[StoredClaim]) -> Judgement {
    let fingerprint = update.row.fingerprint;
    if claims.iter().any(|c| c.row.fingerprint != fingerprint) {
        return Judgement::KeyReused;
    }
    let is_held = |claim: &&StoredClaim| claim.row.state != ClaimState::Released;
    match claims.iter().find(is_held) {
        Some(held) => Judgement::HeldByOther(held.row.clone()),
        None => Judgement::TryAgain(all_found(claims)),
    }
}

fn all_found(claims: &[StoredClaim]) -> Vec<FoundRow> {
    claims.iter().map(|c| c.found.clone()).collect()
}
