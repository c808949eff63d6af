//! The thread for what time alone changes.

use super::{Controller, ControllerState};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

const TIMER_INTERVAL: Micros = Micros::from_millis(250);
/// A timer that fires this late shows that the process has used up its share of the processor. A limit that the
/// system enforces from outside can't be measured otherwise everywhere.
const LATE: Micros = Micros::from_millis(25);
/// How often a process that is short of processor time most of the time logs it.
const LAG_LOG_INTERVAL: Micros = Micros::from_secs(60);
/// How often a leader logs a summary of its state.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);

/// How many timers have fired late.
struct TimerStatistics {
    since: Moment,
    fired: u32,
    late: u32,
}

impl TimerStatistics {
    fn new(since: Moment) -> TimerStatistics {
        TimerStatistics {
            since,
            fired: 0,
            late: 0,
        }
    }

    /// Counts a timer, and logs at the end of each interval if most were late.
    fn count(&mut self, is_late: bool, now: Moment) {
        self.fired += 1;
        self.late += u32::from(is_late);
        if now - self.since > LAG_LOG_INTERVAL {
            if self.late * 2 > self.fired {
                log::warn!(timers = self.fired, late = self.late; "short of processor time");
            }
            *self = TimerStatistics::new(now);
        }
    }
}

/// What the timer keeps from one time to the next.
struct TimerState {
    statistics: TimerStatistics,
    /// Since when this controller acts as the leader without interruption: machines count as silent only from then
    /// on, since it refused their heartbeats before.
    acting_since: Option<Moment>,
    /// When a summary was last logged.
    summary_logged_at: Moment,
}

impl Controller {
    /// Runs what depends on time four times a second. Never returns.
    pub(crate) fn timer_loop(&self) {
        let mut timer = TimerState {
            statistics: TimerStatistics::new(self.now()),
            acting_since: None,
            summary_logged_at: Moment(0),
        };
        loop {
            let due_at = self.now() + TIMER_INTERVAL;
            self.os.sleep(TIMER_INTERVAL.duration());
            let now = self.now();
            let is_late = now - due_at > LATE;
            timer.statistics.count(is_late, now);
            self.on_timer(&mut timer, is_late);
        }
    }

    fn on_timer(&self, timer: &mut TimerState, is_late: bool) {
        let mut state = self.state();
        let now = self.now();
        let Some((_, scheduler)) = state.acting_leader(now) else {
            timer.acting_since = None;
            return;
        };
        let acting_since = *timer.acting_since.get_or_insert(now);
        scheduler.overload.note(is_late, now);
        scheduler.on_timer(now);
        log_summary(scheduler, &mut timer.summary_logged_at, now);
        self.wake_loops(scheduler);
        let reaches_too_few_workers = scheduler.is_cut_off_from_workers(acting_since, now);
        if reaches_too_few_workers {
            self.step_down_unless_paused(&mut state, now);
        }
    }

    /// A leader that receives heartbeats of too few workers steps down, once in a candidacy pause.
    fn step_down_unless_paused(&self, state: &mut ControllerState, now: Moment) {
        if self.steps_down_without_successor() && state.candidacy_paused_until <= now {
            log::info!(reason = "most_workers_silent"; "stepping down");
            state.step_down_and_pause_candidacy(now);
        }
    }

    /// False if a handover can find a better-placed peer: then the leader steps down for that peer only. The views
    /// of all peers are needed for it.
    fn steps_down_without_successor(&self) -> bool {
        let link_health = self.link_health.as_ref();
        link_health.is_none_or(|health| health.any_peer_without_views())
    }
}

fn log_summary(scheduler: &SchedulerState, logged_at: &mut Moment, now: Moment) {
    if log::log_enabled!(log::Level::Debug) && now - *logged_at > SUMMARY_INTERVAL {
        *logged_at = now;
        log::debug!("{}", scheduler.capacity_summary(now));
        log::debug!("{}", scheduler.command_summary());
    }
}
