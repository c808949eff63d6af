//! Preemption: what is stopped so that more important work gets room.

use super::{Place, PlacementPass, QueueOrder, Resources};
use crate::jobs::JobId;
use crate::jobs::Priority;
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};
use crate::workers::wire::TaskStatus;
use crate::workers::{AttemptKey, DesiredState};
use std::collections::BTreeMap;

/// A task that could be stopped.
pub(super) struct Victim {
    /// What would be lost: the work done so far.
    lost: u64,
    at: usize,
    key: AttemptKey,
    need: Resources,
    team: usize,
    rank: Priority,
    stopped: bool,
}

impl SchedulerState {
    /// What could be stopped for anything that waits, the least loss first.
    fn victims(&self, pass: &PlacementPass, now: Moment) -> Vec<Victim> {
        let (highest, within) = pass.highest;
        let mut victims = Vec::new();
        for (at, place) in pass.places.iter().enumerate() {
            let Some(m) = self.machines.get(&place.name) else {
                continue;
            };
            for (key, a) in &m.attempts {
                if !a.holds_resources()
                    || a.desired != DesiredState::Run
                    || a.status == Some(TaskStatus::Flushing)
                {
                    continue;
                }
                let Some(v) = self.jobs.table.get(&key.job) else {
                    continue;
                };
                // Else what begins at last would be stopped at once, again and again.
                let begins = !v.ran_long_enough && now - v.accepted_at > self.config.patience;
                if a.protected || begins || place.reserved {
                    continue;
                }
                let Some(team) = v.team else { continue };
                let rank = Some(v.spec.priority);
                if rank >= highest && (rank > within || pass.over[team] <= 0) {
                    continue;
                }
                let ran = (now - a.running_since.unwrap_or(now)).0;
                victims.push(Victim {
                    lost: ran.saturating_mul(v.spec.demand.cpu as u64),
                    at,
                    key: *key,
                    need: v.spec.demand,
                    team,
                    rank: v.spec.priority,
                    stopped: false,
                });
            }
        }
        victims.sort_unstable_by_key(|v| (v.lost, v.at, v.key));
        victims
    }

    /// Stops lower work, or work that others borrowed, where that makes room for waiting tasks.
    pub(super) fn make_room(
        &mut self,
        queue_order: QueueOrder,
        id: JobId,
        waiting: u32,
        pass: &mut PlacementPass,
        now: Moment,
    ) {
        let Some(job) = self.jobs.table.get(&id) else {
            return;
        };
        let Some(team) = job.team else { return };
        let (need, rank) = (job.spec.demand, job.spec.priority);
        // Most jobs that wait may stop nothing: they needn't look at all that runs.
        let lower = pass.lowest.is_some_and(|lowest| lowest < rank);
        let mut others = pass.over.iter().enumerate().filter(|(t, _)| *t != team);
        let borrowed = !queue_order.beyond_guarantee && others.any(|(_, over)| *over > 0);
        if !lower && !borrowed {
            return;
        }
        let mut left = waiting.min(pass.team_room[team].times(need));
        let zones = self.zones_of(id);
        let allowed = |at: usize, places: &[Place]| {
            job.spec.anywhere()
                || self.machines.get(&places[at].name).is_some_and(|m| {
                    job.spec.allows(&m.type_name, &m.zone, m.spot)
                        && Self::zone_allowed(job, &m.zone, &zones)
                })
        };
        // Room that is being made already is waited for, not made twice.
        for at in &pass.making {
            if !allowed(*at, &pass.places) {
                continue;
            }
            let place = &mut pass.places[*at];
            while left > 0 && need.fits(place.promised) {
                place.promised = place.promised.minus(need);
                left -= 1;
            }
        }
        if left == 0 {
            return;
        }
        if pass.victims.is_none() {
            pass.victims = Some(self.victims(pass, now));
        }
        // By place, what might be stopped there: nothing is, unless it makes enough room together.
        // What is stopped in vain starts again in the room that it left, and is stopped again, without
        // end, where the rest of a machine can't be stopped.
        let mut together: BTreeMap<usize, (Resources, Vec<usize>)> = BTreeMap::new();
        let mut stops = Vec::new();
        let victims = pass.victims.as_mut().map_or(&mut [][..], |v| &mut v[..]);
        for i in 0..victims.len() {
            if left == 0 {
                break;
            }
            let v = &victims[i];
            // Only what comes later in the order: what fits into its own team's guarantee would stop
            // the same work in turn, since both teams may have borrowed, again and again.
            let borrowed = !queue_order.beyond_guarantee
                && v.team != team
                && v.rank <= rank
                && pass.beyond.contains(&v.key.job)
                && pass.over[v.team] >= v.need.cpu;
            if v.stopped || (v.rank >= rank && !borrowed) || !allowed(v.at, &pass.places) {
                continue;
            }
            let at = v.at;
            let promised = pass.places[at].promised;
            let (room, stopped) = together.entry(at).or_insert((promised, Vec::new()));
            *room = room.plus(v.need);
            stopped.push(i);
            if !need.fits(*room) {
                continue;
            }
            let room = *room;
            for i in std::mem::take(stopped) {
                let v = &mut victims[i];
                v.stopped = true;
                pass.over[v.team] -= v.need.cpu;
                stops.push((pass.places[at].name.clone(), v.key));
            }
            let place = &mut pass.places[at];
            if place.promised == place.free {
                pass.making.push(at);
            }
            place.promised = room;
            while left > 0 && need.fits(place.promised) {
                place.promised = place.promised.minus(need);
                left -= 1;
            }
            let promised = place.promised;
            together.insert(at, (promised, Vec::new()));
        }
        for (name, key) in stops {
            self.stop_attempt(&name, key);
        }
    }

    /// Wants one attempt gone, with time to save where that keeps something.
    pub fn stop_attempt(&mut self, machine: &str, key: crate::workers::AttemptKey) {
        let Some(job) = self.jobs.table.get(&key.job) else {
            return;
        };
        let grace_period = if job.spec.checkpoint_interval > Micros::ZERO {
            job.spec.checkpoint_duration + Micros::from_secs(2)
        } else {
            Micros::ZERO
        };
        if let Some(m) = self.machines.get_mut(machine)
            && let Some(a) = m.attempts.get_mut(&key)
        {
            a.desired = DesiredState::Stop { grace_period };
            m.free_resources.set(None);
            log::debug!("stopping {}/{} on {machine}", job.spec.id, key.task);
            self.commands.due.insert(machine.to_string());
        }
    }
}
