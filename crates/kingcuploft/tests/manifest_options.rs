//! Test that the option tables of docs/features/manifest.md match the code.

use std::fmt::Write;

use kingcuploft::manifest::Manifest;
use serde_json::Value;

const BEGIN: &str = "<!-- tables: begin -->\n";
const END: &str = "<!-- tables: end -->";

/// Returns the option tables of all parts of the manifest, generated from its schema.
fn tables() -> String {
    let schema = serde_json::to_value(schemars::schema_for!(Manifest)).unwrap();
    let mut text = table("Manifest", &schema);
    for (name, part) in schema["$defs"].as_object().unwrap() {
        match part.get("properties") {
            Some(_) => text += &table(name, part),
            None => text += &enum_table(name, part),
        }
    }
    text
}

fn description(value: &Value) -> String {
    let text = value["description"].as_str().unwrap_or_default();
    text.replace('\n', " ")
}

fn table(name: &str, part: &Value) -> String {
    let mut text = format!("\n### {name}\n\n{}\n\n", description(part));
    text += "| field | type | default | meaning |\n|---|---|---|---|\n";
    let required = part["required"].as_array();
    let required = |field: &str| required.is_some_and(|r| r.iter().any(|name| name == field));
    for (field, property) in part["properties"].as_object().unwrap() {
        let default = match (required(field), property.get("default")) {
            (true, _) => "required".into(),
            (false, Some(Value::Object(_))) => "see there".into(),
            (false, Some(default)) => format!("`{default}`"),
            (false, None) => "none".into(),
        };
        let (kind, meaning) = (type_name(property), description(property));
        writeln!(text, "| `{field}` | {kind} | {default} | {meaning} |").unwrap();
    }
    text
}

/// Returns the table of an enum's values.
fn enum_table(name: &str, part: &Value) -> String {
    let mut text = format!(
        "\n### {name}\n\n{}\n\n| word | meaning |\n|---|---|\n",
        description(part)
    );
    for word in part["oneOf"].as_array().into_iter().flatten() {
        let (value, meaning) = (&word["const"], description(word));
        writeln!(
            text,
            "| `{}` | {meaning} |",
            value.as_str().unwrap_or_default()
        )
        .unwrap();
    }
    text
}

fn type_name(property: &Value) -> String {
    let reference = property["$ref"].as_str();
    if let Some(name) = reference.and_then(|path| path.rsplit('/').next()) {
        return format!("[{name}](#{})", name.to_lowercase());
    }
    let words = match &property["type"] {
        Value::String(word) => word.clone(),
        Value::Array(words) => {
            let words = words
                .iter()
                .filter_map(Value::as_str)
                .filter(|w| *w != "null");
            words.collect::<Vec<_>>().join(" or ")
        }
        _ => "any".into(),
    };
    match (words.as_str(), property.get("items")) {
        ("array", Some(items)) => format!("list of {}", type_name(items)),
        _ => words,
    }
}

#[test]
fn the_option_tables_are_those_of_the_code() {
    let folder = std::path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = folder.join("../../docs/features/manifest.md");
    let page = std::fs::read_to_string(&path).unwrap();
    let (before, rest) = page.split_once(BEGIN).unwrap();
    let (found, after) = rest.split_once(END).unwrap();
    let tables = tables();
    if std::env::var_os("KINGCUPLOFT_WRITE_SCHEMA").is_some() {
        let page = format!("{before}{BEGIN}{tables}{END}{after}");
        std::fs::write(&path, page).unwrap();
        return;
    }
    assert!(
        found == tables,
        "run with KINGCUPLOFT_WRITE_SCHEMA=1 and commit docs/features/manifest.md"
    );
}
