//! Feasibility check of submitted jobs against machine types, zones and team quotas.

use super::JobSpec;
use crate::placement::Resources;
use crate::provisioning::MachineType;
use crate::settings::TeamSettings;

/// Reason why a job could never run. The text is part of the response to the user.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// The settings contain no team of that name.
    #[error("unknown team")]
    UnknownTeam {
        /// Team that the job names.
        team: String,
    },
    /// The tasks that must run at the same time need more than the team's maximum quota.
    #[error("more than the team's limit")]
    OverTeamLimit {
        /// Team that the job names.
        team: String,
    },
    /// The settings contain no zone of that name.
    #[error("unknown zone")]
    UnknownZone {
        /// Zone that the job names.
        zone: String,
    },
    /// No machine type on which a task may run has enough capacity for it.
    #[error("a task fits no allowed machine type")]
    NoMachineType,
}

impl JobSpec {
    /// Checks the job against the teams' limits, the zones and the machine types.
    ///
    /// # Errors
    ///
    /// [`Infeasible`] with the first reason why the job could never run.
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
        if !self.minimum_demand().fits(team_limit(team)) {
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

    /// Minimum share of the team's quota that the job needs. Tasks of an array may run one after the other; the
    /// replicas of a standing job run at the same time.
    fn minimum_demand(&self) -> Resources {
        let concurrent_tasks = if self.is_standing() { self.tasks } else { 1 };
        Resources {
            // Teams have no memory limit.
            ram: 0,
            ..self.demand.scaled(i64::from(concurrent_tasks))
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

fn team_limit(team: &TeamSettings) -> Resources {
    Resources::capacity(team.cpus_max, team.gpus_max, 0.0)
}
