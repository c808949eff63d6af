//! Whether any machine and any quota could ever hold a job.

use super::JobSpec;
use crate::placement::Resources;
use crate::provisioning::MachineType;
use crate::settings::TeamSettings;

/// Why a job could never run. Users are told the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// The settings have no team of that name.
    #[error("unknown team")]
    UnknownTeam {
        /// The team that the job names.
        team: String,
    },
    /// Tasks that must run at once take more than the team may ever use.
    #[error("more than the team's limit")]
    OverTeamLimit {
        /// The job's team.
        team: String,
    },
    /// The settings have no zone of that name.
    #[error("unknown zone")]
    UnknownZone {
        /// The zone that the job names.
        zone: String,
    },
    /// A task is larger than every machine type on which it may run.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
}

impl JobSpec {
    /// Checks the job against the teams' limits, the zones and the machine types.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] with the first reason for which it could never run.
    pub(super) fn check_feasible(
        &self,
        teams: &[TeamSettings],
        catalog: &[MachineType],
        zones: &[String],
    ) -> Result<(), Infeasible> {
        let Some(team) = teams.iter().find(|t| t.name == self.team) else {
            let team = self.team.clone();
            return Err(Infeasible::UnknownTeam { team });
        };
        if !self.least_demand().fits(limit_of(team)) {
            let team = self.team.clone();
            return Err(Infeasible::OverTeamLimit { team });
        }
        if let Some(zone) = &self.zone
            && !zones.contains(zone)
        {
            let zone = zone.clone();
            return Err(Infeasible::UnknownZone { zone });
        }
        match catalog.iter().any(|t| self.fits_machine_type(t)) {
            true => Ok(()),
            false => Err(Infeasible::NoMachineType),
        }
    }

    /// What it takes at least of its team's quota. Tasks of an array may run one after the other;
    /// replicas run together.
    fn least_demand(&self) -> Resources {
        let together = if self.is_standing() { self.tasks } else { 1 };
        Resources {
            // Teams have no limit of memory.
            ram: 0,
            ..self.demand.scaled(i64::from(together))
        }
    }

    fn fits_machine_type(&self, machine_type: &MachineType) -> bool {
        let allowed = self.machine_types.as_ref();
        let zone = self.zone.as_ref();
        self.demand.fits(machine_type.capacity)
            && allowed.is_none_or(|names| names.contains(&machine_type.name))
            && zone.is_none_or(|zone| machine_type.zones.contains(zone))
    }
}

fn limit_of(team: &TeamSettings) -> Resources {
    Resources::capacity(team.cpus_max, team.gpus_max, 0.0)
}
