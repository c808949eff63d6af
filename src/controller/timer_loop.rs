//! The timer thread, which applies changes of state that depend only on the passage of time.

use super::request_log::RequestLog;
use super::{Controller, ControllerState};
use crate::scheduler::SchedulerState;
use crate::time::{Micros, Moment};

const TIMER_INTERVAL: Micros = Micros::from_millis(250);
/// Delay beyond which a timer counts as late, which shows that the process has used up its CPU quota. A quota that
/// the system enforces from outside can't be measured in any other way on every platform.
const LATE_THRESHOLD: Micros = Micros::from_millis(25);
/// Interval over which late timers are counted; a warning is logged at its end if most timers were late.
const LATE_TIMER_LOG_INTERVAL: Micros = Micros::from_secs(60);
/// Minimum time between two log lines in which a leader summarizes its state.
const SUMMARY_INTERVAL: Micros = Micros::from_secs(10);

/// Number of timers that fired late in the current interval.
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

    /// Counts one timer, and logs a warning at the end of each interval in which most timers were late.
    fn count(&mut self, is_late: bool, now: Moment) {
        self.fired += 1;
        self.late += u32::from(is_late);
        if now - self.since > LATE_TIMER_LOG_INTERVAL {
            if self.late * 2 > self.fired {
                log::warn!(timers = self.fired, late = self.late; "insufficient CPU time: most timers fired late");
            }
            *self = TimerStatistics::new(now);
        }
    }
}

/// Time that decisions may take before they are logged as slow. Other controllers wait half a second for an answer.
const SLOW_DECISIONS_THRESHOLD: Micros = Micros::from_millis(250);

/// State that the timer thread keeps between two runs.
struct TimerState {
    statistics: TimerStatistics,
    /// Time since which this controller has acted as the leader without interruption. Machines count as silent only
    /// from then on, since their heartbeats were refused before.
    acting_since: Option<Moment>,
    /// Time at which a summary was last logged.
    summary_logged_at: Moment,
    request_log: RequestLog,
}

impl Controller {
    /// Applies time-dependent changes once per [`TIMER_INTERVAL`]. Never returns.
    pub(crate) fn timer_loop(&self) {
        let mut timer = TimerState {
            statistics: TimerStatistics::new(self.now()),
            acting_since: None,
            summary_logged_at: Moment(0),
            request_log: RequestLog::default(),
        };
        loop {
            let due_at = self.now() + TIMER_INTERVAL;
            self.os.sleep(TIMER_INTERVAL.duration());
            let now = self.now();
            let is_late = now - due_at > LATE_THRESHOLD;
            timer.statistics.count(is_late, now);
            self.on_timer(&mut timer, is_late);
            timer.request_log.log_if_due(self, now);
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
        log_slow_decisions(self.now() - now);
        log_summary(scheduler, &mut timer.summary_logged_at, now);
        self.wake_loops(scheduler);
        let reaches_too_few_workers = scheduler.is_cut_off_from_workers(acting_since, now);
        if reaches_too_few_workers {
            self.step_down_unless_paused(&mut state, now);
        }
    }

    /// Requests a step-down of a leader that receives heartbeats from too few workers, at most once per candidacy
    /// pause.
    fn step_down_unless_paused(&self, state: &mut ControllerState, now: Moment) {
        if self.steps_down_without_successor() && state.candidacy_paused_until <= now {
            log::info!(reason = "most_workers_silent"; "stepping down");
            state.step_down_and_pause_candidacy(now);
        }
    }

    /// Returns false if a handover can find a better-connected peer, in which case the leader steps down only in favor
    /// of that peer. This requires link views from all peers.
    fn steps_down_without_successor(&self) -> bool {
        let link_health = self.link_health.as_ref();
        link_health.is_none_or(|health| health.any_peer_without_views())
    }
}

/// Logs that decisions held the lock of the state for long: no other request was answered meanwhile.
fn log_slow_decisions(held: Micros) {
    if held > SLOW_DECISIONS_THRESHOLD {
        log::debug!(held_ms = held.0 / 1000; "slow decisions");
    }
}

fn log_summary(scheduler: &SchedulerState, logged_at: &mut Moment, now: Moment) {
    if log::log_enabled!(log::Level::Debug) && now - *logged_at > SUMMARY_INTERVAL {
        *logged_at = now;
        log::debug!("{}", scheduler.capacity_summary(now));
        log::debug!("{}", scheduler.command_summary());
    }
}
