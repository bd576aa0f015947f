//! `manifest apply`: checks a manifest file and writes it to the store.
//!
//! Failure: the store does not answer a write. The command then reports that the outcome is unknown and how to find
//! out, and never claims a success or failure that it cannot prove.

use std::time::{SystemTime, UNIX_EPOCH};

use kingcuploft::manifest::Manifest;
use kingcuploft::manifest::root::service_objects;
use kingcuploft_platform::ObjectStore;
use kingcuploft_platform::manifest_root::{self, ApplyError, ApplyOutcome, ApplyRequest};

use crate::args::ApplyArgs;
use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::manifest;

/// How many VMs an accepted manifest is uploaded to; they pass it on to the others.
const MAX_UPLOAD_VMS: usize = 3;

/// Checks and applies a manifest file.
///
/// # Errors
///
/// Returns an outcome that says why the manifest was not accepted.
pub fn apply(context: &Context<'_>, args: &ApplyArgs) -> Result<Outcome, Outcome> {
    let checked = manifest::read(context, &args.file)?;
    let store = context.store()?;
    let apply = ApplyRequest {
        manifest: checked.manifest,
        apply_id: apply_id(),
        author: args.author.clone().unwrap_or_else(author),
        applied_ms: now_ms(),
        base_generation: args.base,
        above_generation: args.above,
        verify: args.verify,
    };
    let applied = apply.run(&store).map_err(|error| match error {
        ApplyError::TooLarge { .. } => Outcome::failure(Code::InvalidInput, error.to_string()),
        other => manifest::failed(other),
    })?;
    let mut outcome = describe_outcome(context, &apply.apply_id, &applied);
    if let ApplyOutcome::Accepted(_) = applied {
        outcome.err += &upload_to_vms(context, &store, &apply.manifest);
    }
    for warning in checked.warnings {
        outcome.err += &format!("warning: {warning}\n");
    }
    Ok(outcome)
}

/// Builds the command's outcome, in text or JSON, from the result of an apply.
pub fn describe_outcome(context: &Context<'_>, apply_id: &str, applied: &ApplyOutcome) -> Outcome {
    let (code, text, json) = match applied {
        ApplyOutcome::Accepted(generation) => (
            Code::Success,
            format!("accepted as generation {generation}"),
            serde_json::json!({ "outcome": "accepted", "generation": generation }),
        ),
        ApplyOutcome::Superseded { generation, by } => (
            Code::Success,
            format!("accepted as generation {generation}, then replaced by generation {by}"),
            serde_json::json!({
                "outcome": "accepted", "generation": generation, "replaced_by": by,
            }),
        ),
        ApplyOutcome::Conflicting {
            generation,
            author,
            changes,
        } => {
            let lines: Vec<String> = changes.iter().map(|c| format!("\n    {c}")).collect();
            let by = match author.is_empty() {
                true => String::new(),
                false => format!(" by {author}"),
            };
            (
                Code::Conflict,
                format!(
                    "not accepted: generation {generation}{by} came first; it changed:{}",
                    lines.concat()
                ),
                serde_json::json!({
                    "outcome": "lost", "generation": generation, "author": author,
                    "changes": changes,
                }),
            )
        }
        ApplyOutcome::Unknown(why) => (
            Code::Unknown,
            format!(
                "not known whether it was accepted: {why}\nlook for apply {apply_id} in \
                 `kingcuploftctl manifest history`; while it is not there it may still arrive, \
                 and applying the same file again is safe"
            ),
            serde_json::json!({ "outcome": "unknown", "why": why }),
        ),
    };
    let mut outcome = Outcome::with_code(code, format!("{text}\n"));
    if context.json() {
        let mut json = json;
        json["apply_id"] = apply_id.into();
        outcome.out = format!("{json}\n");
    } else if code != Code::Success {
        outcome.err = std::mem::take(&mut outcome.out);
    }
    outcome
}

/// Uploads the accepted manifest to a few VMs, if VMs were named: if the store goes down before any VM has read it,
/// these VMs pass it on. Returns a warning if no VM received it.
fn upload_to_vms(context: &Context<'_>, store: &dyn ObjectStore, manifest: &Manifest) -> String {
    if !context.has_vms() {
        return String::new();
    }
    let vms = match context.vms() {
        Ok(vms) => vms,
        Err(outcome) => return format!("not handed to a VM: {}\n", outcome.err),
    };
    let root = match manifest_root::read_root(store) {
        Ok(Some((_, root))) => root,
        _ => return "not handed to a VM: the root can not be read back\n".into(),
    };
    let services: Vec<String> = service_objects(manifest)
        .into_iter()
        .map(|o| o.text)
        .collect();
    let body = serde_json::json!({ "root": root.text(), "services": services }).to_string();
    let mut uploaded = 0;
    for vm in &vms {
        uploaded += usize::from(
            vm.post::<serde_json::Value>("/fleet/manifest", &body)
                .is_ok(),
        );
        if uploaded == MAX_UPLOAD_VMS {
            break;
        }
    }
    match uploaded {
        0 => "not handed to a VM: none took it; the VMs read it from the store\n".into(),
        _ => String::new(),
    }
}

fn apply_id() -> String {
    format!("{:016x}{:016x}", fastrand::u64(..), now_ms())
}

fn author() -> String {
    std::env::var("USER").unwrap_or_default()
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
