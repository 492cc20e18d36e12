//! `hemlockctl diff` and `hemlockctl apply`: compares and applies declarations from files.

use std::path::{Path, PathBuf};

use clap::Args;
use declarations::{ChangeId, SourceFile};
use reqwest::Method;
use serde_json::{Value, json};

use crate::client::{Connection, CtlError};
use crate::output::{Output, format_cell};

/// Extensions of declaration files.
const FILE_EXTENSIONS: [&str; 2] = ["json", "jsonc"];

/// Arguments of `hemlockctl diff`.
#[derive(Debug, Args)]
pub(crate) struct DiffArgs {
    /// Directory or file with the declarations.
    #[arg(short = 'f', long = "from", value_name = "DIR")]
    from: PathBuf,
}

/// Arguments of `hemlockctl apply`.
#[derive(Debug, Args)]
pub(crate) struct ApplyArgs {
    /// Directory or file with the declarations.
    #[arg(
        short = 'f',
        long = "from",
        value_name = "DIR",
        required_unless_present = "revert_to"
    )]
    from: Option<PathBuf>,
    /// Restores the content of an earlier revision as a new revision.
    #[arg(long, value_name = "REVISION", conflicts_with = "from")]
    revert_to: Option<u64>,
    /// Allows deletion of items that the files do not contain.
    #[arg(long)]
    allow_delete: bool,
    /// Author of the change.
    #[arg(long, env = "USER", default_value = "operator")]
    author: String,
    /// Reason for the change.
    #[arg(long, default_value = "")]
    why: String,
    /// Identifier of an earlier change whose answer was lost; the node applies it at most once.
    #[arg(long)]
    repeat: Option<ChangeId>,
}

/// Shows what applying the declarations would change, without applying them.
pub(crate) async fn diff(
    connection: &Connection,
    output: &Output,
    args: &DiffArgs,
) -> Result<(), CtlError> {
    let body = json!({ "files": read_files(&args.from)?, "plan": true });
    let reply = put(connection, &body).await?;
    output.print(&reply, || format_reply(&reply));
    Ok(())
}

/// Applies declarations from files, or reverts to an earlier revision.
pub(crate) async fn apply(
    connection: &Connection,
    output: &Output,
    args: &ApplyArgs,
) -> Result<(), CtlError> {
    let id = args.repeat.unwrap_or_else(|| ChangeId(rand::random()));
    let mut body = json!({
        "id": id,
        "author": args.author,
        "why": args.why,
        "allow_delete": args.allow_delete,
        "repeated": args.repeat.is_some(),
    });
    match (&args.from, args.revert_to) {
        (Some(from), _) => body["files"] = json!(read_files(from)?),
        (None, revision) => body["revert_to"] = json!(revision),
    }
    let reply = put(connection, &body).await.inspect_err(|error| {
        if !matches!(error, CtlError::Node { status, .. } if status.is_client_error()) {
            eprintln!("hemlockctl: if the answer was lost, repeat with --repeat {id}");
        }
    })?;
    output.print(&reply, || format_reply(&reply));
    Ok(())
}

/// Sends a change of the declarations to the node.
async fn put(connection: &Connection, body: &Value) -> Result<Value, CtlError> {
    connection
        .call_json(Method::PUT, "/v1/declarations", Some(body))
        .await
}

/// Reads one file, or all declaration files of a directory in order of path.
fn read_files(from: &Path) -> Result<Vec<SourceFile>, CtlError> {
    let file_error = |path: &Path, e: std::io::Error| CtlError::Local {
        detail: format!("{}: {e}", path.display()),
    };
    let mut paths = vec![from.to_owned()];
    if from.is_dir() {
        let entries = std::fs::read_dir(from).map_err(|e| file_error(from, e))?;
        paths = entries
            .filter_map(Result::ok)
            .map(|entry| entry.path())
            .collect();
        paths.retain(|path| has_declaration_extension(path));
        paths.sort();
    }
    if paths.is_empty() {
        let detail = format!("{}: there are no .json or .jsonc files", from.display());
        return Err(CtlError::Usage { detail });
    }
    let read = |path: PathBuf| {
        let text = std::fs::read_to_string(&path).map_err(|e| file_error(&path, e))?;
        Ok(SourceFile {
            name: path.display().to_string(),
            text,
        })
    };
    paths.into_iter().map(read).collect()
}

/// Returns whether a path has an extension of declaration files.
fn has_declaration_extension(path: &Path) -> bool {
    let extension = path.extension().and_then(|extension| extension.to_str());
    extension.is_some_and(|extension| FILE_EXTENSIONS.contains(&extension))
}

/// Formats a reply as lines: changes, work that stops, sources that were unreachable, and the
/// revision.
fn format_reply(reply: &Value) -> String {
    let list = |name: &str| {
        reply[name]
            .as_array()
            .map(Vec::as_slice)
            .unwrap_or_default()
    };
    let mut lines: Vec<String> = list("changes").iter().map(format_cell).collect();
    lines.extend(
        list("stops")
            .iter()
            .map(|stop| format!("takes: {}", format_cell(stop))),
    );
    let unreachable: Vec<_> = list("unreachable").iter().map(format_cell).collect();
    if !unreachable.is_empty() {
        lines.push(format!(
            "use of guarantees not known in: {}",
            unreachable.join(", ")
        ));
    }
    if lines.is_empty() {
        lines.push("nothing changes".to_owned());
    }
    let revision = format_cell(&reply["revision"]);
    lines.push(match reply["applied"].as_bool() {
        Some(true) => format!("accepted as revision {revision}"),
        _ => format!("not applied; revision {revision} is in force"),
    });
    lines.join("\n")
}
