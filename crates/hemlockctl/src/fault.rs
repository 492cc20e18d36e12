//! `hemlockctl fault`: injects, ends and lists faults of the simulated platform.

use std::net::SocketAddr;

use clap::Args;
use serde_json::json;

use crate::client::{CtlError, build_http_client, read_json};
use crate::output::{Output, format_cell};

/// Arguments of `hemlockctl fault`.
#[derive(Debug, Args)]
pub(crate) struct FaultArgs {
    /// Address of the simulated platform, as printed by `hemlockd dev`.
    #[arg(long, env = "HEMLOCK_PLATFORM", value_name = "IP:PORT")]
    platform: SocketAddr,
    /// Fault to inject, such as store_down or cut; if omitted, the active faults are listed.
    fault: Option<String>,
    /// Worker, node or data centre that the fault applies to.
    #[arg(long, default_value = "")]
    target: String,
    /// The two ends of a cut connection, such as `gyor,platform`.
    #[arg(long, value_delimiter = ',', num_args = 2)]
    between: Vec<String>,
    /// Ends the fault.
    #[arg(long)]
    off: bool,
}

/// Injects or ends the given fault, or lists the active faults.
pub(crate) async fn run(output: &Output, args: &FaultArgs) -> Result<(), CtlError> {
    let url = format!("http://{}/v1/faults", args.platform);
    let call = match &args.fault {
        None => build_http_client()?.get(url),
        Some(fault) => {
            let mut body = json!({ "fault": fault, "target": args.target, "on": !args.off });
            if !args.between.is_empty() {
                body["between"] = json!(args.between);
            }
            build_http_client()?.post(url).json(&body)
        }
    };
    let reply = read_json(call.send().await?).await?;
    output.print(&reply, || format_cell(&reply));
    Ok(())
}
