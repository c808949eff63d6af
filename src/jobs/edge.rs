//! The loop that writes records.

use super::rounds::{Write, WriteKind, pack};
use super::{DoneRecord, JobView};
use crate::fleet::{FLEET_PREFIX, FleetValue};
use crate::node::Node;
use crate::state_store::bucket::TokenBucket;
use crate::state_store::{Change, Commit, StoreError, Urgency, from_value, to_value};
use crate::time::{Micros, Moment};
use std::time::Duration;

/// Final states that complete within this long share a transaction.
const GATHER: Duration = Duration::from_millis(25);

impl Node {
    pub fn rounds_loop(&self) {
        let site = &self.settings.settings.state;
        let rate = site.write_rps * self.options.write_budget as f64 / 100.0;
        let round = Micros::from_millis(self.options.round_ms);
        let mut tokens = TokenBucket::new(rate, rate.max(4.0), self.now());
        let mut next_round = self.now();
        let mut not_before = Moment(0);
        loop {
            std::thread::sleep(GATHER);
            let now = self.now();
            let (writes, guard, records, deleted) = {
                let mut core = self.core();
                let Some((lead, cluster)) = core.acting(now) else {
                    drop(
                        self.changed
                            .wait_timeout(core, Duration::from_millis(500))
                            .unwrap_or_else(|e| e.into_inner()),
                    );
                    continue;
                };
                let guard = lead.guard();
                let mut writes = cluster.due_finals();
                writes.truncate(site.write_rps as usize);
                if now >= next_round {
                    next_round = now + round;
                    let budget = tokens.available(now).max(0.0) as usize;
                    let left = budget.saturating_sub(writes.len());
                    writes.extend(cluster.due_sets(left));
                    let used: usize = writes.iter().map(|w| w.changes.len()).sum();
                    let left = budget.saturating_sub(used);
                    writes.extend(cluster.due_retirements(left, site.txn_ops));
                }
                let most = site.txn_ops.min(site.write_rps as usize / 2).max(1);
                let (records, deleted) = cluster.due_fleet_records(most);
                let records: Vec<_> = records
                    .into_iter()
                    .map(|r| (cluster.names_of(&r.jobs), r))
                    .collect();
                let idle = writes.is_empty() && records.is_empty() && deleted.is_empty();
                if idle || now < not_before {
                    let wait = (next_round - now)
                        .max(not_before - now)
                        .duration()
                        .clamp(Duration::from_millis(20), Duration::from_millis(2000));
                    drop(
                        self.changed
                            .wait_timeout(core, wait)
                            .unwrap_or_else(|e| e.into_inner()),
                    );
                    continue;
                }
                (writes, guard, records, deleted)
            };
            if !records.is_empty() || !deleted.is_empty() {
                let at = self.clock.wall().0;
                let mut changes = Vec::new();
                let mut written = Vec::new();
                for (jobs, record) in records {
                    let key = format!("{FLEET_PREFIX}{}", record.machine);
                    changes.push(Change::write(key, to_value(&FleetValue { at, jobs })));
                    written.push(record);
                }
                for name in &deleted {
                    changes.push(Change::delete(format!("{FLEET_PREFIX}{name}")));
                }
                tokens.force(changes.len() as f64, self.now());
                let guards = [guard.clone()];
                match self.store.multi(&guards, &changes, Urgency::Normal) {
                    Ok(Commit::Done { .. }) => {
                        if let Some(cluster) = &mut self.core().cluster {
                            cluster.fleet_recorded(&written, &deleted);
                            self.wake(cluster);
                        }
                    }
                    Ok(Commit::Conflict { .. }) => self.core().step_down = true,
                    Err(e) => {
                        log::debug!("machines not recorded: {e}");
                        not_before = self.now() + Micros::from_millis(200);
                    }
                }
            }
            for pack in pack(writes, site.txn_ops) {
                let mut guards = vec![guard.clone()];
                guards.extend(pack.iter().flat_map(|w| w.guards.iter().cloned()));
                let changes: Vec<_> = pack.iter().flat_map(|w| w.changes.clone()).collect();
                tokens.force(changes.len() as f64, self.now());
                match self.store.multi(&guards, &changes, Urgency::Normal) {
                    Ok(Commit::Done { epoch }) => self.note_written(&pack, epoch),
                    Ok(Commit::Conflict { failed }) => {
                        if failed.contains(&guard.key) {
                            log::info!("the lead is another's: standing down");
                            self.core().step_down = true;
                        } else {
                            self.read_back(&failed);
                        }
                    }
                    Err(e) => {
                        // Whether it was applied shows at the next try: the guards' stamps fail.
                        log::debug!("records not written: {e}");
                        not_before = self.now() + Micros::from_millis(200);
                        if !matches!(e, StoreError::Refused(_)) {
                            not_before = self.now() + Micros::from_millis(50);
                        }
                        break;
                    }
                }
            }
        }
    }

    fn note_written(&self, pack: &[Write], epoch: u64) {
        let mut core = self.core();
        let core = &mut *core;
        let Some(cluster) = &mut core.cluster else {
            return;
        };
        for write in pack {
            let Some(job) = cluster.jobs.table.get(&write.job) else {
                continue;
            };
            let (id, tasks) = (job.spec.id.clone(), job.spec.tasks);
            if let WriteKind::Final(outcome) = write.kind {
                core.finals.note(&id, JobView::of_final(outcome, tasks));
            }
            if let (WriteKind::Retire, Some(outcome)) = (&write.kind, job.outcome) {
                core.finals.note(&id, JobView::of_final(outcome, tasks));
            }
            cluster.written(write, epoch);
        }
        self.changed.notify_all();
    }

    /// Keys whose stamps were not as expected: an unanswered write of ours was applied.
    fn read_back(&self, failed: &[String]) {
        for key in failed {
            let Some((id, chunk)) = key
                .strip_prefix("done/")
                .and_then(|rest| rest.split_once('/'))
                .and_then(|(id, c)| Some((id, c.parse::<u32>().ok()?)))
            else {
                log::info!("guard on {key} failed");
                self.read_back_job(key);
                continue;
            };
            match self.store.get(key, Urgency::Normal) {
                Ok(Some(row)) => {
                    let record: DoneRecord = from_value(&row.data).unwrap_or_default();
                    if let Some(cluster) = &mut self.core().cluster {
                        cluster.load_done(id, chunk, &record, row.stamp);
                    }
                }
                Ok(None) => {
                    if let Some(cluster) = &mut self.core().cluster {
                        cluster.done_key_absent(id, chunk);
                    }
                    self.read_back_job(&super::job_key(id));
                }
                Err(e) => log::debug!("{key} not read back: {e}"),
            }
        }
        self.changed.notify_all();
    }

    /// A job whose retirement was applied without an answer is gone from `jobs/`.
    fn read_back_job(&self, key: &str) {
        let Some(id) = key.strip_prefix("jobs/") else {
            return;
        };
        if let Ok(None) = self.store.get(key, Urgency::Normal) {
            let mut core = self.core();
            let core = &mut *core;
            let Some(cluster) = &mut core.cluster else {
                return;
            };
            if let Some(job) = cluster.jobs.get(id)
                && let Some(outcome) = job.outcome
            {
                let view = JobView::of_final(outcome, job.spec.tasks);
                core.finals.note(id, view);
                cluster.forget_job(id);
            }
        }
    }
}
