//! Resolved commands and their printed form.

pub(crate) mod grammar;
pub(crate) mod resolve;

use std::fmt;

use model::prelude::*;

use crate::settings::{ClassSettings, OrganisationSettings};

/// A command of an operator.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Declares an organisation.
    CreateOrganisation {
        /// Its name.
        organisation: OrganisationName,
        /// Its properties.
        settings: OrganisationSettings,
    },
    /// Alters an organisation.
    AlterOrganisation {
        /// Its name.
        organisation: OrganisationName,
        /// The altered properties.
        settings: OrganisationSettings,
    },
    /// Removes an organisation.
    DeleteOrganisation {
        /// Its name.
        organisation: OrganisationName,
    },
    /// Suspends an organisation: its new work is refused.
    SuspendOrganisation {
        /// Its name.
        organisation: OrganisationName,
    },
    /// Resumes a suspended organisation: its work is accepted again.
    ResumeOrganisation {
        /// Its name.
        organisation: OrganisationName,
    },
    /// Sets the number of guaranteed blocks of one level in one data centre; 0 removes it.
    SetGuarantee {
        /// The organisation.
        organisation: OrganisationName,
        /// The guarantee.
        guarantee: Guarantee,
    },
    /// Declares a class.
    CreateClass {
        /// Its name.
        class: ClassName,
        /// Its properties.
        settings: ClassSettings,
    },
    /// Alters a class.
    AlterClass {
        /// Its name.
        class: ClassName,
        /// The altered properties.
        settings: ClassSettings,
    },
    /// Removes a class.
    DeleteClass {
        /// Its name.
        class: ClassName,
    },
    /// Drains a worker: it receives no new work.
    DrainWorker {
        /// Its name.
        worker: WorkerName,
    },
    /// Returns a drained worker to service.
    ReturnWorker {
        /// Its name.
        worker: WorkerName,
    },
    /// Cancels a job.
    CancelJob {
        /// The job.
        job: JobId,
    },
}

/// A command, with whether to execute it or only to plan it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CommandRequest {
    /// The command.
    pub command: Command,
    /// Whether to report only what the command would do.
    pub is_plan: bool,
}

impl fmt::Display for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::CreateOrganisation {
                organisation,
                settings,
            } => write!(f, "create organisation {organisation} with {settings}"),
            Self::AlterOrganisation {
                organisation,
                settings,
            } => write!(f, "alter organisation {organisation} with {settings}"),
            Self::DeleteOrganisation { organisation } => {
                write!(f, "delete organisation {organisation}")
            }
            Self::SuspendOrganisation { organisation } => {
                write!(f, "suspend organisation {organisation}")
            }
            Self::ResumeOrganisation { organisation } => {
                write!(f, "resume organisation {organisation}")
            }
            Self::SetGuarantee {
                organisation,
                guarantee,
            } => {
                let Guarantee {
                    data_centre,
                    level,
                    count,
                } = guarantee;
                write!(
                    f,
                    "set guarantee of {organisation} in {data_centre} to {count} {level}"
                )
            }
            Self::CreateClass { class, settings } => {
                write!(f, "create class {class} with {settings}")
            }
            Self::AlterClass { class, settings } => {
                write!(f, "alter class {class} with {settings}")
            }
            Self::DeleteClass { class } => write!(f, "delete class {class}"),
            Self::DrainWorker { worker } => write!(f, "drain worker {worker}"),
            Self::ReturnWorker { worker } => write!(f, "return worker {worker}"),
            Self::CancelJob { job } => write!(f, "cancel job {job}"),
        }
    }
}

impl fmt::Display for CommandRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.command)?;
        if self.is_plan {
            f.write_str(" --plan")?;
        }
        Ok(())
    }
}
