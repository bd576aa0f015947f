//! `manifest diff`: the differences between two manifests, field by field.

use std::collections::BTreeMap;
use std::path::Path;

use kingcuploft::manifest::Manifest;
use kingcuploft::world::ids::Generation;
use kingcuploft_platform::manifest_root;
use serde_json::Value;

use crate::context::Context;
use crate::exit::{Code, Outcome};
use crate::manifest;

/// Compares the accepted manifest with a file.
///
/// # Errors
///
/// Returns an outcome if either cannot be read.
pub fn with_file(context: &Context<'_>, file: &Path) -> Result<Outcome, Outcome> {
    let checked = manifest::read(context, file)?;
    let store = context.store()?;
    let accepted = match manifest_root::read_root(&store).map_err(manifest::failed)? {
        None => Manifest::default(),
        Some((_, root)) => manifest_root::read_manifest(&store, &root).map_err(manifest::failed)?,
    };
    Ok(print(context, &lines(&accepted, &checked.manifest)))
}

/// Compares two generations.
///
/// # Errors
///
/// Returns an outcome if either cannot be read.
pub fn between(
    context: &Context<'_>,
    from: Generation,
    to: Generation,
) -> Result<Outcome, Outcome> {
    let store = context.store()?;
    let read = |generation| {
        let root = manifest::root(&store, Some(generation))?;
        manifest_root::read_manifest(&store, &root).map_err(manifest::failed)
    };
    Ok(print(context, &lines(&read(from)?, &read(to)?)))
}

fn print(context: &Context<'_>, lines: &[String]) -> Outcome {
    let code = match lines.is_empty() {
        true => Code::Success,
        false => Code::Differs,
    };
    if context.json() {
        return Outcome::with_code(
            code,
            format!("{}\n", serde_json::json!({ "changes": lines })),
        );
    }
    let text: Vec<String> = lines.iter().map(|line| format!("{line}\n")).collect();
    Outcome::with_code(code, text.concat())
}

/// Returns a line for each field that differs.
pub fn lines(before: &Manifest, after: &Manifest) -> Vec<String> {
    let (before, after) = (fields(before), fields(after));
    let mut lines = Vec::new();
    for (path, old) in &before {
        match after.get(path) {
            None => lines.push(format!("- {path}: {old}")),
            Some(new) if new != old => lines.push(format!("~ {path}: {old} -> {new}")),
            Some(_) => {}
        }
    }
    let added = after.iter().filter(|(path, _)| !before.contains_key(*path));
    lines.extend(added.map(|(path, new)| format!("+ {path}: {new}")));
    lines.sort_by(|a, b| a[2..].cmp(&b[2..]));
    lines
}

/// Returns every field of a manifest by its path; list items appear in the path by their names.
fn fields(manifest: &Manifest) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let value = serde_json::to_value(manifest).unwrap_or_default();
    if let Some(services) = value.get("services") {
        collect("", services, &mut fields);
    }
    fields
}

fn collect(path: &str, value: &Value, fields: &mut BTreeMap<String, String>) {
    let join = |name: &str| match path.is_empty() {
        true => name.to_owned(),
        false => format!("{path}.{name}"),
    };
    match value {
        Value::Object(members) => {
            let members = members.iter().filter(|(name, _)| *name != "name");
            members.for_each(|(name, value)| collect(&join(name), value, fields));
        }
        Value::Array(items) if items.iter().all(|item| item.get("name").is_some()) => {
            for item in items {
                let name = item["name"].as_str().unwrap_or_default();
                collect(&join(name), item, fields);
            }
        }
        other => drop(fields.insert(path.to_owned(), other.to_string())),
    }
}
