//! Release of the tasks of earlier terms for placement.

use super::SchedulerState;
use crate::time::Moment;
use std::fmt;

/// Proof that no attempt of an earlier term that this leader doesn't know can be on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EmptinessProof {
    /// A report contained a fencing token of this leader, and all attempts on the machine.
    Reconciled,
    /// The agent epoch has ended in this term.
    EpochEnded,
    /// The machine no longer exists.
    Gone,
    /// No controller can have renewed an agent epoch of an earlier term for a full lease.
    LeaseExpired,
}

impl fmt::Display for EmptinessProof {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            EmptinessProof::Reconciled => "reconciled",
            EmptinessProof::EpochEnded => "epoch_ended",
            EmptinessProof::Gone => "gone",
            EmptinessProof::LeaseExpired => "lease_expired",
        })
    }
}

impl SchedulerState {
    /// Releases tasks of earlier terms for placement once no unreconciled machine can hold them any more.
    ///
    /// A task starts only on a registered machine, and only after a start watermark covers it. Tasks above the
    /// watermarks were therefore never started, and the others can only be on registered machines. Each of these
    /// machines counts as unreconciled until there is proof that it holds no attempt which this leader doesn't know.
    pub fn release_prior_term(&mut self, now: Moment) {
        if self.prior_term.released {
            return;
        }
        let proofs: Vec<(String, EmptinessProof)> = self
            .prior_term
            .unreconciled
            .iter()
            .filter_map(|name| Some((name.clone(), self.emptiness_proof(name, now)?)))
            .collect();
        for (name, proof) in proofs {
            self.log_emptiness(&name, proof, now);
            self.prior_term.unreconciled.remove(&name);
            if proof == EmptinessProof::LeaseExpired && !self.machines.contains_key(&name) {
                self.provisioning.registry.remove(&name);
                self.prior_term.machines.remove(&name);
            }
            self.prior_term.expired_machines += u32::from(proof == EmptinessProof::LeaseExpired);
        }
        if !self.prior_term.unreconciled.is_empty() {
            return;
        }
        log::info!(
            term = self.term,
            unreconciled_machines = self.prior_term.expired_machines;
            "tasks of earlier terms released for placement"
        );
        self.prior_term.released = true;
        self.placement.due = true;
        for job in self.jobs.table.values_mut() {
            job.end_reconciliation();
        }
    }

    /// Proof that the machine holds no attempt of an earlier term that this leader doesn't know, if there is one.
    fn emptiness_proof(&self, name: &str, now: Moment) -> Option<EmptinessProof> {
        let machine = self.machines.get(name);
        if machine.is_some_and(|m| m.reconciled) {
            Some(EmptinessProof::Reconciled)
        } else if machine.is_some_and(|m| m.epoch_ended) {
            Some(EmptinessProof::EpochEnded)
        } else if self.provisioning.is_gone(name) {
            Some(EmptinessProof::Gone)
        } else {
            let lease_expired =
                now - self.prior_epoch_renewed_at(name) >= self.max_lease_duration();
            lease_expired.then_some(EmptinessProof::LeaseExpired)
        }
    }

    fn log_emptiness(&self, name: &str, proof: EmptinessProof, now: Moment) {
        let renewed_at = self.prior_epoch_renewed_at(name);
        log::debug!(
            term = self.term,
            machine = name,
            reason:% = proof,
            renewed_s_ago = (now - renewed_at).as_secs_f64();
            "machine of earlier terms released"
        );
    }
}
