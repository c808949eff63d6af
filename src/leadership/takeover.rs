//! Takeover: a new leader reads what the state service holds.

use super::LeaderLease;
use crate::controller::Controller;
use crate::jobs::Submission;
use crate::jobs::WATERMARKS_PREFIX;
use crate::jobs::{DONE_PREFIX, DoneRecord, JOBS_PREFIX};
use crate::provisioning::REGISTRY_PREFIX;
use crate::scheduler::SchedulerState;
use crate::state_store::{Page, Row, Urgency, from_value};
use crate::time::{Micros, Moment, WallTime};

/// Records that one request asks for.
const PAGE: usize = 100;

/// What a record is read with.
struct Reading {
    now: Moment,
    wall: WallTime,
    /// How far the times of day of two nodes may be apart.
    skew: Micros,
}

impl Controller {
    /// Reads everything that a leader needs; None when the lead was lost meanwhile.
    pub(super) fn load(
        &self,
        lead: &LeaderLease,
        started: Moment,
        renewed: &mut Moment,
    ) -> Option<SchedulerState> {
        let seed = fastrand::u64(..);
        let mut scheduler = SchedulerState::new(self.scheduler_config(), lead.term, started, seed);
        if let Some(catalog) = self.catalog() {
            scheduler.provisioning.catalog = catalog.to_vec();
        }
        scheduler.wall_at_start = self.os.wall();
        scheduler.prior_term.older_version_led_at = lead.older_version_led_at;
        let skew = Micros::from_secs_f64(self.settings.settings.skew_ms / 500.0);
        let mut jobs_revision = None;
        // Roster and claims first: they tell what of a job may have started.
        for prefix in [REGISTRY_PREFIX, WATERMARKS_PREFIX, JOBS_PREFIX, DONE_PREFIX] {
            let mut since: Option<String> = None;
            loop {
                let page = self.read_page(prefix, since.as_deref(), lead, renewed)?;
                if prefix == JOBS_PREFIX {
                    jobs_revision.get_or_insert(page.revision);
                }
                let reading = Reading {
                    now: self.now(),
                    wall: self.os.wall(),
                    skew,
                };
                for row in &page.rows {
                    scheduler.load_record(prefix, row, &reading);
                }
                since = page.rows.last().map(|row| row.key.clone()).or(since);
                if !page.more {
                    break;
                }
            }
        }
        scheduler.jobs.drop_stale_watermarks();
        self.state().jobs_revision = jobs_revision.unwrap_or(lead.revision);
        Some(scheduler)
    }

    /// Reads one page, however often that takes; None when the lead was lost meanwhile.
    fn read_page(
        &self,
        prefix: &str,
        since: Option<&str>,
        lead: &LeaderLease,
        renewed: &mut Moment,
    ) -> Option<Page> {
        loop {
            if !self.renew_if_due(lead.lease, renewed) {
                return None;
            }
            match self.store.range(prefix, since, PAGE, Urgency::LeaderLease) {
                Ok(page) => return Some(page),
                Err(e) => {
                    log::debug!("reading {prefix}: {e}");
                    self.pause(100, 300);
                }
            }
        }
    }
}

impl SchedulerState {
    /// Takes in one record. One that can't be read counts as if it told the worst.
    fn load_record(&mut self, prefix: &str, row: &Row, reading: &Reading) {
        let rest = &row.key[prefix.len()..];
        let is_read = match prefix {
            REGISTRY_PREFIX => self.load_roster_page(rest, row, reading),
            WATERMARKS_PREFIX => self.load_claims_page(rest, row),
            JOBS_PREFIX => self.load_job(row, reading),
            _ => self.load_done_record(rest, row),
        };
        if is_read.is_none() {
            log::error!("malformed record {}", row.key);
            match prefix {
                REGISTRY_PREFIX => {
                    // Whatever it named may hold any task of any job.
                    self.prior_term.note_machine(&row.key, reading.now);
                    self.prior_term.watermarks_lost = true;
                }
                WATERMARKS_PREFIX => self.prior_term.watermarks_lost = true,
                _ => {}
            }
        }
    }

    fn load_roster_page(&mut self, number: &str, row: &Row, reading: &Reading) -> Option<()> {
        let number = number.parse().ok()?;
        let entries: Vec<(String, u64)> = from_value(&row.data)?;
        for (name, at) in &entries {
            let age = reading.wall.0.saturating_sub(*at);
            let age = age.saturating_sub(reading.skew.0);
            let since = Moment(reading.now.0.saturating_sub(age));
            self.prior_term.note_machine(name, since);
        }
        self.provisioning
            .registry
            .load(number, row.revision, entries);
        Some(())
    }

    fn load_claims_page(&mut self, number: &str, row: &Row) -> Option<()> {
        let number = number.parse().ok()?;
        self.jobs
            .start_watermarks
            .load(number, row.revision, from_value(&row.data)?);
        Some(())
    }

    fn load_job(&mut self, row: &Row, reading: &Reading) -> Option<()> {
        let submission: Submission = from_value(&row.data)?;
        self.add_job(&submission, row.revision, reading.now, reading.wall);
        Some(())
    }

    fn load_done_record(&mut self, rest: &str, row: &Row) -> Option<()> {
        // Keys of another form aren't ours.
        let Some((id, chunk)) = rest.split_once('/') else {
            return Some(());
        };
        let Ok(chunk) = chunk.parse() else {
            return Some(());
        };
        let record: DoneRecord = from_value(&row.data)?;
        self.apply_done_record(id, chunk, &record, row.revision);
        Some(())
    }
}
