//! What a user submits, checked; and the record of it that is kept.

use crate::http::cbor::{Number, decode};
use crate::placement::Resources;
use crate::settings::TeamSettings;
use crate::time::{Micros, WallTime};
use serde::{Deserialize, Serialize};

/// The largest number of tasks of a job.
pub const MAX_TASKS: u64 = 100_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// The submission as it stands on the wire, and as it is kept in `jobs/<ref>`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    #[serde(rename = "ref")]
    pub id: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(rename = "crew")]
    pub team: String,
    #[serde(rename = "shape")]
    pub kind: JobKind,
    #[serde(rename = "rank")]
    pub priority: Priority,
    #[serde(rename = "pieces")]
    pub tasks: u64,
    pub cpus: Number,
    pub gpus: Number,
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    #[serde(rename = "bundle")]
    pub image: String,
    #[serde(rename = "imageGb")]
    pub image_gb: Number,
    #[serde(rename = "builds", default)]
    pub machine_types: Option<Vec<String>>,
    #[serde(rename = "yard", default)]
    pub zone: Option<String>,
    #[serde(rename = "samePlace")]
    pub same_zone: bool,
    pub spread: bool,
    #[serde(rename = "loaners")]
    pub spot: bool,
    #[serde(rename = "guessS")]
    pub estimate_s: Number,
    #[serde(rename = "bookmarkS")]
    pub checkpoint_interval_s: Number,
    #[serde(rename = "stashS")]
    pub checkpoint_duration_s: Number,
    #[serde(rename = "dueS", default)]
    pub deadline_s: Option<Number>,
    /// Ours, in the kept record: when it was accepted, by the accepting node's time of day.
    #[serde(rename = "acceptedUs", default)]
    pub accepted_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", expecting = "enum Shape")]
pub enum JobKind {
    /// Independent tasks, each runs to its end.
    Array,
    /// Tasks (replicas) that run until the job is cancelled.
    Standing,
}

/// Why a submission is refused for good.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refusal {
    #[error("malformed: {0}")]
    Malformed(String),
    #[error("can never run: {0}")]
    Impossible(String),
}

/// True for ids in the form that users give them (`run-` and digits).
pub fn is_ref(id: &str) -> bool {
    id.strip_prefix("run-")
        .is_some_and(|n| (1..=40).contains(&n.len()) && n.bytes().all(|b| b.is_ascii_digit()))
}

/// A job as the controllers work with it.
#[derive(Clone, Debug)]
pub struct JobSpec {
    pub id: String,
    pub class: String,
    pub team: String,
    pub priority: Priority,
    pub tasks: u32,
    /// What one task takes of its machine.
    pub demand: Resources,
    pub image: String,
    pub image_gb: f64,
    pub machine_types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub same_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Micros,
    pub checkpoint_interval: Micros,
    pub checkpoint_duration: Micros,
    pub deadline: Option<Micros>,
    pub kind: JobKind,
    pub accepted_at: WallTime,
}

impl JobSpec {
    /// Its tasks are replicas that run until it is cancelled.
    pub fn is_standing(&self) -> bool {
        self.kind == JobKind::Standing
    }
}

impl Submission {
    pub fn decode(body: &[u8]) -> Result<Submission, Refusal> {
        let s: Submission = decode(body).map_err(|e| Refusal::Malformed(e.to_string()))?;
        s.check()?;
        Ok(s)
    }

    fn check(&self) -> Result<(), Refusal> {
        let bad = |field: &str| Err(Refusal::Malformed(format!("field `{field}`")));
        if !is_ref(&self.id) {
            return bad("ref");
        }
        if !(1..=MAX_TASKS).contains(&self.tasks) {
            return bad("pieces");
        }
        let amount = |d: Number| (0.0..=1e9).contains(&d.0);
        for (field, value) in [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("ramGb", self.ram_gb),
            ("imageGb", self.image_gb),
            ("guessS", self.estimate_s),
            ("bookmarkS", self.checkpoint_interval_s),
            ("stashS", self.checkpoint_duration_s),
        ] {
            if !amount(value) {
                return bad(field);
            }
        }
        if self.cpus.0 <= 0.0 && self.gpus.0 <= 0.0 {
            return bad("cpus");
        }
        if self.deadline_s.is_some_and(|d| !amount(d)) {
            return bad("dueS");
        }
        if self.image.is_empty() {
            return bad("bundle");
        }
        Ok(())
    }

    pub fn spec(&self) -> JobSpec {
        JobSpec {
            id: self.id.clone(),
            class: self.class.clone(),
            team: self.team.clone(),
            priority: self.priority,
            tasks: self.tasks.min(MAX_TASKS) as u32,
            demand: Resources::need(self.cpus.0, self.gpus.0, self.ram_gb.0),
            image: self.image.clone(),
            image_gb: self.image_gb.0,
            machine_types: self.machine_types.clone(),
            zone: self.zone.clone(),
            same_zone: self.same_zone,
            spread: self.spread,
            spot: self.spot,
            estimate: Micros::from_secs_f64(self.estimate_s.0),
            checkpoint_interval: Micros::from_secs_f64(self.checkpoint_interval_s.0),
            checkpoint_duration: Micros::from_secs_f64(self.checkpoint_duration_s.0),
            deadline: self.deadline_s.map(|d| Micros::from_secs_f64(d.0)),
            kind: self.kind,
            accepted_at: WallTime(self.accepted_us),
        }
    }

    /// Refuses what no machine type or no limit could ever hold.
    pub fn possible(
        &self,
        teams: &[TeamSettings],
        catalog: &[crate::provisioning::MachineType],
        zones: &[String],
    ) -> Result<(), Refusal> {
        let never = |why: &str| Err(Refusal::Impossible(why.to_string()));
        let Some(team) = teams.iter().find(|t| t.name == self.team) else {
            return never("unknown team");
        };
        let spec = self.spec();
        // Tasks of an array may run one after the other; replicas run together.
        let together = if spec.is_standing() { spec.tasks } else { 1 };
        let mut least = spec.demand.by(i64::from(together));
        least.ram = 0;
        if !least.fits(Resources::have(team.cpus_max, team.gpus_max, 0.0)) {
            return never("more than the team's limit");
        }
        if let Some(zone) = &spec.zone
            && !zones.contains(zone)
        {
            return never("unknown zone");
        }
        let fits = catalog.iter().any(|t| {
            spec.demand.fits(t.room)
                && spec
                    .machine_types
                    .as_ref()
                    .is_none_or(|a| a.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        if !fits {
            return never("a task fits no allowed machine type");
        }
        Ok(())
    }
}
