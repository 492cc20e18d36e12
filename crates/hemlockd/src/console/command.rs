//! Executes the commands of the operators' language.

use std::collections::BTreeMap;
use std::sync::Arc;

use console::settings::apply_guarantee;
use console::{Command, CommandRequest, ResultTable, Value};
use declarations::{
    ChangeId, ChangeRequest, DeclarationKey, DeclarationSet, Edit, ItemValue, diff,
};
use model::prelude::*;

use super::ConsoleError;
use crate::declared::{EditError, make_change};
use crate::http::refuse;
use crate::jobs::{JobReply, cancel_job, job_status};
use crate::members::drain_worker;
use crate::node::Shared;

/// Executes a command, or returns what it would do.
///
/// # Errors
///
/// The command is refused, or it is unknown whether its change takes effect.
pub(super) async fn execute(
    shared: &Arc<Shared>,
    request: CommandRequest,
) -> Result<ResultTable, ConsoleError> {
    let CommandRequest { command, is_plan } = request;
    let lines = match &command {
        Command::DrainWorker { worker } => drain(shared, worker, true, is_plan).await?,
        Command::ReturnWorker { worker } => drain(shared, worker, false, is_plan).await?,
        Command::CancelJob { job } => cancel(shared, job, is_plan).await?,
        _ => declare(shared, &command, is_plan).await?,
    };
    let rows = lines
        .into_iter()
        .map(|line| vec![Value::Text(line)])
        .collect();
    Ok(ResultTable {
        columns: vec!["result".to_owned()],
        rows,
    })
}

/// Drains a worker of any data centre, or returns it to service.
async fn drain(
    shared: &Arc<Shared>,
    worker: &WorkerName,
    is_drained: bool,
    is_plan: bool,
) -> Result<Vec<String>, Refused> {
    let effect = if is_drained {
        "takes no new work"
    } else {
        "takes new work again"
    };
    if is_plan {
        return Ok(vec![format!("worker {worker} would be marked: {effect}")]);
    }
    if drain_worker(shared, worker, is_drained).await {
        return Ok(vec![format!(
            "worker {worker} {effect}, at every node within 2 s"
        )]);
    }
    let detail = format!("no reachable data centre lists the worker {worker}");
    Err(refuse(RefusalReason::NotFound, detail))
}

/// Cancels a job.
async fn cancel(shared: &Arc<Shared>, job: &JobId, is_plan: bool) -> Result<Vec<String>, Refused> {
    let reply = if is_plan {
        job_status(shared, job).await
    } else {
        cancel_job(shared, job).await
    };
    match reply? {
        JobReply::Known(status) if is_plan => Ok(vec![format!(
            "job {job}, now {}, would be cancelled",
            status.state
        )]),
        JobReply::Known(status) => Ok(vec![format!("job {job} is {}", status.state)]),
        JobReply::NotFound | JobReply::NotPlanner => Err(refuse(
            RefusalReason::NotFound,
            format!("no job {job} is known"),
        )),
    }
}

/// Changes the declarations.
async fn declare(
    shared: &Arc<Shared>,
    command: &Command,
    is_plan: bool,
) -> Result<Vec<String>, ConsoleError> {
    let current = shared.snapshot();
    let edit = to_edit(&current.set, command)?;
    let mut wanted = current.set.clone();
    match &edit {
        Edit::Put(value) => wanted.put(value.clone()),
        Edit::Delete(key) => wanted.remove(key),
    }
    let mut lines: Vec<_> = diff(&current.set, &wanted)
        .iter()
        .map(ToString::to_string)
        .collect();
    if lines.is_empty() {
        return Ok(vec!["nothing changes".to_owned()]);
    }
    if is_plan {
        lines.push("planned only; nothing was changed".to_owned());
        return Ok(lines);
    }
    let request = ChangeRequest {
        id: ChangeId(rand::random()),
        base: Some(current.revision),
        author: "operator".to_owned(),
        at_ms: shared.clock.now_ms(),
        why: command.to_string(),
        edits: vec![edit],
        places: BTreeMap::new(),
        allow_delete: true,
        repeated: false,
    };
    let revision = make_change(shared, request)
        .await
        .map_err(to_console_error)?;
    lines.push(format!(
        "accepted as revision {revision}, in force on this node"
    ));
    Ok(lines)
}

/// Converts a command to an edit of the declarations.
fn to_edit(set: &DeclarationSet, command: &Command) -> Result<Edit, ConsoleError> {
    let malformed = |detail: String| refuse(RefusalReason::Malformed, detail);
    match command {
        Command::CreateOrganisation {
            organisation,
            settings,
        } => {
            check_absent(set, &DeclarationKey::Organisation(organisation.clone()))?;
            let spec = settings
                .create(organisation.clone())
                .map_err(|e| malformed(e.to_string()))?;
            Ok(put_organisation(spec))
        }
        Command::AlterOrganisation {
            organisation,
            settings,
        } => {
            let mut spec = find_organisation(set, organisation)?;
            settings.apply(&mut spec);
            Ok(put_organisation(spec))
        }
        Command::SuspendOrganisation { organisation } => suspend(set, organisation, true),
        Command::ResumeOrganisation { organisation } => suspend(set, organisation, false),
        Command::SetGuarantee {
            organisation,
            guarantee,
        } => {
            let mut spec = find_organisation(set, organisation)?;
            apply_guarantee(&mut spec, guarantee);
            Ok(put_organisation(spec))
        }
        Command::DeleteOrganisation { organisation } => {
            find_organisation(set, organisation)?;
            Ok(Edit::Delete(DeclarationKey::Organisation(
                organisation.clone(),
            )))
        }
        Command::CreateClass { class, settings } => {
            check_absent(set, &DeclarationKey::Class(class.clone()))?;
            let spec = settings
                .create(class.clone())
                .map_err(|e| malformed(e.to_string()))?;
            Ok(Edit::Put(ItemValue::Class(spec)))
        }
        Command::AlterClass { class, settings } => {
            let mut spec = find_class(set, class)?;
            settings.apply(&mut spec);
            Ok(Edit::Put(ItemValue::Class(spec)))
        }
        Command::DeleteClass { class } => {
            find_class(set, class)?;
            Ok(Edit::Delete(DeclarationKey::Class(class.clone())))
        }
        Command::DrainWorker { .. } | Command::ReturnWorker { .. } | Command::CancelJob { .. } => {
            Err(malformed("the command changes no declaration".to_owned()).into())
        }
    }
}

/// Suspends or resumes an organisation.
fn suspend(
    set: &DeclarationSet,
    organisation: &OrganisationName,
    suspended: bool,
) -> Result<Edit, ConsoleError> {
    let spec = find_organisation(set, organisation)?;
    Ok(put_organisation(OrganisationSpec { suspended, ..spec }))
}

fn put_organisation(spec: OrganisationSpec) -> Edit {
    Edit::Put(ItemValue::Organisation(spec))
}

/// Refuses to create an item that is already declared.
fn check_absent(set: &DeclarationSet, key: &DeclarationKey) -> Result<(), Refused> {
    match set.item(key) {
        Some(_) => Err(refuse(
            RefusalReason::Conflict,
            format!("{key} is declared already"),
        )),
        None => Ok(()),
    }
}

/// Returns a declared organisation.
fn find_organisation(
    set: &DeclarationSet,
    name: &OrganisationName,
) -> Result<OrganisationSpec, Refused> {
    set.organisations.get(name).cloned().ok_or_else(|| {
        let detail = format!("no organisation {name} is declared");
        refuse(RefusalReason::UnknownOrganisation, detail)
    })
}

/// Returns a declared class.
fn find_class(set: &DeclarationSet, name: &ClassName) -> Result<ClassSpec, Refused> {
    set.classes.get(name).cloned().ok_or_else(|| {
        refuse(
            RefusalReason::UnknownClass,
            format!("no class {name} is declared"),
        )
    })
}

/// Converts the error of a change that was not made, or whose outcome is unknown.
fn to_console_error(error: EditError) -> ConsoleError {
    let detail = error.to_string();
    match error {
        EditError::Conflict(_) => refuse(RefusalReason::Conflict, detail).into(),
        EditError::Rejected(findings) => ConsoleError::Findings(findings),
        EditError::Unavailable => refuse(RefusalReason::StoreUnavailable, detail).into(),
        EditError::MayApply => ConsoleError::Unknown(OutcomeUnknown {
            reason: UnknownReason::StoreAnswerLost,
            detail,
        }),
    }
}
