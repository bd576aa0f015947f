//! `manifest check`, `show` and `history`: checks a manifest file, prints stored manifests and their history.

use std::path::Path;

use kingcuploft::manifest::reader::{self, CheckedManifest};
use kingcuploft::manifest::root::Root;
use kingcuploft::manifest::{Manifest, ManifestSize};
use kingcuploft::world::ids::Generation;
use kingcuploft_platform::ObjectStore;
use kingcuploft_platform::manifest_root::{self, ApplyError};

use crate::context::Context;
use crate::exit::{Code, Outcome};

/// Checks a manifest file.
///
/// # Errors
///
/// Returns an outcome with code 2 that lists every fault.
pub fn check(context: &Context<'_>, file: &Path) -> Result<Outcome, Outcome> {
    let checked = read(context, file)?;
    let figures = ManifestSize::of(&checked.manifest);
    let warnings: Vec<String> = checked.warnings.iter().map(ToString::to_string).collect();
    if context.json() {
        let out = serde_json::json!({ "faults": [], "warnings": warnings, "figures": figures });
        return Ok(Outcome::success(format!("{out}\n")));
    }
    let mut out = String::new();
    for warning in warnings {
        out += &format!("warning: {warning}\n");
    }
    out += &format!(
        "{}: good: {} services, {} backend servers, {} slots, {} rules\n",
        file.display(),
        figures.services,
        figures.backend_servers,
        figures.slots,
        figures.rules
    );
    Ok(Outcome::success(out))
}

/// Reads and checks a manifest file.
///
/// # Errors
///
/// Returns an outcome with code 2 that lists every fault.
pub fn read(context: &Context<'_>, file: &Path) -> Result<CheckedManifest, Outcome> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Outcome::failure(Code::InvalidInput, format!("{name}: {error}")))?;
    reader::read_checked(&name, &text).map_err(|faults| {
        let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
        let mut outcome = Outcome::failure(Code::InvalidInput, lines.join("\n"));
        if context.json() {
            outcome.out = format!("{}\n", serde_json::json!({ "faults": lines }));
        }
        outcome
    })
}

/// Prints a manifest.
///
/// # Errors
///
/// Returns an outcome with code 1 if it cannot be read.
pub fn show(context: &Context<'_>, generation: Option<Generation>) -> Result<Outcome, Outcome> {
    let store = context.store()?;
    let root = root(&store, generation)?;
    let manifest = manifest_root::read_manifest(&store, &root).map_err(failed)?;
    if context.json() {
        let out = serde_json::json!({ "root": root, "manifest": manifest });
        return Ok(Outcome::success(format!("{out}\n")));
    }
    let text = yaml(&manifest)?;
    let title = title(&root);
    Ok(Outcome::success(format!("# {title}\n{text}")))
}

fn yaml(manifest: &Manifest) -> Result<String, Outcome> {
    serde_saphyr::to_string(manifest)
        .map_err(|error| Outcome::failure(Code::Failed, error.to_string()))
}

/// Prints the history of applied manifests, newest first.
///
/// # Errors
///
/// Returns an outcome with code 1 if the store does not answer.
pub fn history(context: &Context<'_>) -> Result<Outcome, Outcome> {
    let store = context.store()?;
    let roots = roots(&store)?;
    if context.json() {
        let lines = roots.iter().map(|root| {
            serde_json::json!({
                "generation": root.generation,
                "apply_id": root.apply_id,
                "author": root.author,
                "applied_ms": root.applied_ms,
                "services": root.services.len(),
            })
        });
        let lines: Vec<_> = lines.collect();
        return Ok(Outcome::success(format!("{}\n", serde_json::json!(lines))));
    }
    let mut out = String::new();
    for (i, root) in roots.iter().enumerate() {
        out += &title(root);
        out.push('\n');
        if let Some(earlier) = roots.get(i + 1) {
            for change in root.changes_since(&earlier.services) {
                out += &format!("    {change}\n");
            }
        }
    }
    Ok(Outcome::success(out))
}

/// Returns a line that summarizes a root.
pub fn title(root: &Root) -> String {
    let mut title = format!("generation {}", root.generation);
    if !root.author.is_empty() {
        title += &format!(" by {}", root.author);
    }
    if root.applied_ms > 0 {
        title += &format!(" at {} s", root.applied_ms / 1000);
    }
    title += &format!(
        ", {} services, apply {}",
        root.services.len(),
        root.apply_id
    );
    title
}

/// Returns the root of a generation, or the accepted root.
///
/// # Errors
///
/// Returns an outcome with code 1 if it cannot be read.
pub fn root(store: &dyn ObjectStore, generation: Option<Generation>) -> Result<Root, Outcome> {
    let mut roots = roots(store)?.into_iter();
    let found = match generation {
        None => roots.next(),
        Some(generation) => roots.find(|root| root.generation == generation),
    };
    found.ok_or_else(|| {
        let what = generation.map_or("manifest".into(), |g| format!("generation {g}"));
        Outcome::failure(Code::Failed, format!("no {what} is in the store"))
    })
}

/// Returns the roots in the store, newest first.
fn roots(store: &dyn ObjectStore) -> Result<Vec<Root>, Outcome> {
    let accepted = manifest_root::read_root(store).map_err(failed)?;
    let mut roots = manifest_root::read_history(store).map_err(failed)?;
    roots.extend(accepted.map(|(_, root)| root));
    roots.dedup_by_key(|root| root.generation);
    roots.reverse();
    Ok(roots)
}

/// Converts an error of the store into an outcome with code 1.
pub fn failed(error: ApplyError) -> Outcome {
    Outcome::failure(Code::Failed, error.to_string())
}
