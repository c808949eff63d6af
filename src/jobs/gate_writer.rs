//! Writing the key that stops the acceptance of jobs.

use super::write_authority::WriteAuthority;
use super::{AdmissionGate, FULL_KEY};
use crate::controller::Controller;
use crate::store::{Change, Precondition, StoreError, StorePriority, TransactionOutcome, to_value};

impl Controller {
    /// Writes the key that stops the acceptance of jobs (`closed`), or deletes it so that jobs are accepted again.
    pub(super) fn write_gate(
        &self,
        authority: &WriteAuthority,
        gate: &mut AdmissionGate,
        closed: bool,
    ) {
        let change = match closed {
            true => Change::write_with_lease(FULL_KEY, to_value(&true), authority.lease_id),
            false => Change::delete(FULL_KEY),
        };
        let preconditions = [
            authority.precondition.clone(),
            Precondition::new(FULL_KEY, gate.revision),
        ];
        let store = &self.store;
        match store.transact(&preconditions, &[change], StorePriority::Admitted) {
            Ok(TransactionOutcome::Committed { revision }) => {
                let revision = if closed { revision } else { 0 };
                gate.confirm(closed, revision);
            }
            Ok(TransactionOutcome::Conflict { failed }) if failed == [FULL_KEY] => {
                // An earlier write whose outcome was unknown has been executed.
                if let Ok(row) = store.get(FULL_KEY, StorePriority::Leadership) {
                    let revision = row.as_ref().map_or(0, |row| row.revision);
                    gate.confirm(row.is_some(), revision);
                }
            }
            Ok(TransactionOutcome::Conflict { .. }) | Err(StoreError::NotExecuted { .. }) => {}
            Err(error) => {
                log::debug!(term = authority.term, closed, error:%; "failed to write admission gate");
                gate.unconfirmed = Some(closed);
            }
        }
    }
}
