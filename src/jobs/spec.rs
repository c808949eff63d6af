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
    pub lane: String,
    pub crew: String,
    pub shape: Shape,
    pub rank: Priority,
    pub pieces: u64,
    pub cpus: Number,
    pub gpus: Number,
    #[serde(rename = "ramGb")]
    pub ram_gb: Number,
    pub bundle: String,
    #[serde(rename = "imageGb")]
    pub image_gb: Number,
    #[serde(default)]
    pub builds: Option<Vec<String>>,
    #[serde(default)]
    pub yard: Option<String>,
    #[serde(rename = "samePlace")]
    pub same_place: bool,
    pub spread: bool,
    pub loaners: bool,
    #[serde(rename = "guessS")]
    pub guess_s: Number,
    #[serde(rename = "bookmarkS")]
    pub bookmark_s: Number,
    #[serde(rename = "stashS")]
    pub stash_s: Number,
    #[serde(rename = "dueS", default)]
    pub due_s: Option<Number>,
    /// Ours, in the kept record: when it was accepted, by the accepting node's time of day.
    #[serde(rename = "acceptedUs", default)]
    pub accepted_us: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Shape {
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
    pub rank: Priority,
    pub tasks: u32,
    /// What one task takes of its machine.
    pub need: Resources,
    pub image: String,
    pub image_gb: f64,
    pub types: Option<Vec<String>>,
    pub zone: Option<String>,
    pub one_zone: bool,
    pub spread: bool,
    pub spot: bool,
    pub estimate: Micros,
    pub checkpoint: Micros,
    pub save: Micros,
    pub due: Option<Micros>,
    /// Its tasks are replicas that run until it is cancelled.
    pub standing: bool,
    pub accepted: WallTime,
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
        if !(1..=MAX_TASKS).contains(&self.pieces) {
            return bad("pieces");
        }
        let amount = |d: Number| (0.0..=1e9).contains(&d.0);
        for (field, value) in [
            ("cpus", self.cpus),
            ("gpus", self.gpus),
            ("ramGb", self.ram_gb),
            ("imageGb", self.image_gb),
            ("guessS", self.guess_s),
            ("bookmarkS", self.bookmark_s),
            ("stashS", self.stash_s),
        ] {
            if !amount(value) {
                return bad(field);
            }
        }
        if self.cpus.0 <= 0.0 && self.gpus.0 <= 0.0 {
            return bad("cpus");
        }
        if self.due_s.is_some_and(|d| !amount(d)) {
            return bad("dueS");
        }
        if self.bundle.is_empty() {
            return bad("bundle");
        }
        Ok(())
    }

    pub fn spec(&self) -> JobSpec {
        JobSpec {
            id: self.id.clone(),
            class: self.lane.clone(),
            team: self.crew.clone(),
            rank: self.rank,
            tasks: self.pieces.min(MAX_TASKS) as u32,
            need: Resources::demand(self.cpus.0, self.gpus.0, self.ram_gb.0),
            image: self.bundle.clone(),
            image_gb: self.image_gb.0,
            types: self.builds.clone(),
            zone: self.yard.clone(),
            one_zone: self.same_place,
            spread: self.spread,
            spot: self.loaners,
            estimate: Micros::from_secs_f64(self.guess_s.0),
            checkpoint: Micros::from_secs_f64(self.bookmark_s.0),
            save: Micros::from_secs_f64(self.stash_s.0),
            due: self.due_s.map(|d| Micros::from_secs_f64(d.0)),
            standing: self.shape == Shape::Standing,
            accepted: WallTime(self.accepted_us),
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
        let Some(team) = teams.iter().find(|t| t.name == self.crew) else {
            return never("unknown team");
        };
        let spec = self.spec();
        // Tasks of an array may run one after the other; replicas run together.
        let together = if spec.standing { spec.tasks } else { 1 };
        let mut least = spec.need.scaled(i64::from(together));
        least.ram = 0;
        if !least.fits(Resources::capacity(team.cpus_max, team.gpus_max, 0.0)) {
            return never("more than the team's limit");
        }
        if let Some(zone) = &spec.zone
            && !zones.contains(zone)
        {
            return never("unknown zone");
        }
        let fits = catalog.iter().any(|t| {
            spec.need.fits(t.capacity)
                && spec.types.as_ref().is_none_or(|a| a.contains(&t.name))
                && spec.zone.as_ref().is_none_or(|z| t.zones.contains(z))
        });
        if !fits {
            return never("a task fits no allowed machine type");
        }
        Ok(())
    }
}
