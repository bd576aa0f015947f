//! `trace`: the history of one request, from the logs of entry VMs.
//!
//! Reads the JSON log lines of `kingcuploft-front`, from one VM or several. The text before the `{` of a line, such as
//! a log collector's VM name, is kept as the line's origin.

use std::io::Read;
use std::path::PathBuf;

use serde_json::Value;

use crate::exit::{Code, Outcome};
use crate::visible::visible_line;

/// One log line about the request.
struct Line {
    timestamp: String,
    origin: String,
    fields: Value,
}

/// Prints the history of a request from log files, or from standard input if there are none.
///
/// # Errors
///
/// Returns an outcome that names the file that cannot be read.
pub fn trace(request: &str, files: &[PathBuf]) -> Result<Outcome, Outcome> {
    let mut texts = Vec::new();
    for file in files {
        let text = std::fs::read(file).map_err(|error| unreadable(&file.display(), &error))?;
        texts.push((file.display().to_string(), text));
    }
    if files.is_empty() {
        let mut text = Vec::new();
        let read = std::io::stdin().read_to_end(&mut text);
        read.map_err(|error| unreadable(&"standard input", &error))?;
        texts.push((String::new(), text));
    }
    Ok(trace_texts(request, &texts))
}

fn unreadable(name: &dyn std::fmt::Display, error: &std::io::Error) -> Outcome {
    Outcome::failure(Code::Failed, format!("kingcuploftctl: {name}: {error}"))
}

/// Prints the history of a request from the texts of logs, each with its name.
pub fn trace_texts(request: &str, logs: &[(String, Vec<u8>)]) -> Outcome {
    let (mut lines, mut left_out) = (Vec::new(), 0);
    for (name, bytes) in logs {
        let text = String::from_utf8_lossy(bytes);
        let parsed = text.lines().filter_map(|line| parse(name, line));
        for line in parsed {
            match field(&line.fields, "event") {
                "lines_left_out" | "ordinary_left_out" => left_out += 1,
                _ if field(&line.fields, "request") == request => lines.push(line),
                _ => {}
            }
        }
    }
    lines.sort_by(|a, b| a.timestamp.cmp(&b.timestamp));
    let mut out: String = lines.iter().map(describe).collect();
    out.push_str(conclusion(&lines));
    if left_out > 0 {
        out.push_str("Some lines were left out of these logs: the writer was behind, or they told of attempts that went well.\n");
    }
    match lines.is_empty() {
        true => Outcome::with_code(Code::Failed, out),
        false => Outcome::success(out),
    }
}

fn parse(name: &str, line: &str) -> Option<Line> {
    let begin = line.find('{')?;
    let fields: Value = serde_json::from_str(&line[begin..]).ok()?;
    let before = line[..begin].trim();
    Some(Line {
        timestamp: field(&fields, "timestamp").to_owned(),
        origin: match before.is_empty() {
            true => name.to_owned(),
            false => before.to_owned(),
        },
        fields,
    })
}

fn field<'a>(fields: &'a Value, name: &str) -> &'a str {
    fields.get(name).and_then(Value::as_str).unwrap_or_default()
}

fn display_value(fields: &Value, name: &str) -> String {
    match fields.get(name) {
        None | Some(Value::Null) => "unknown".into(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
    }
}

fn describe(line: &Line) -> String {
    let show = |name| display_value(&line.fields, name);
    let what = match field(&line.fields, "event") {
        "attempt" => format!(
            "sent to {} after {} ms, its reading {} ms old: running {}, waiting {}, slowness {}; {} after {} ms: {}",
            show("server"),
            show("waited_ms"),
            show("age_ms"),
            show("running"),
            show("waiting"),
            show("slowness"),
            show("end"),
            show("took_ms"),
            show("detail"),
        ),
        "gave_up" => format!(
            "answered {} after {} ms and {} attempts: {}; to come back after {} ms",
            show("status"),
            show("held_ms"),
            show("attempts"),
            show("reason"),
            show("come_back_ms"),
        ),
        "repeat" if line.fields.get("room") == Some(&Value::Bool(true)) => {
            format!(
                "to be sent to a second server: the first was {}",
                show("after")
            )
        }
        "repeat" => format!(
            "not sent to a second server, though the first was {}: the budget is used up",
            show("after")
        ),
        "refused" => format!("answered {} at once: {}", show("status"), show("reason")),
        "caller_left" => format!("the caller left after {} ms", show("held_ms")),
        "cut_by_exit" => format!("the VM exited after {} ms", show("held_ms")),
        "answer_cut_by_exit" => "the VM exited before its answer was written".to_owned(),
        "request_task_failed" => format!("its task failed after {} ms", show("held_ms")),
        "crossed_answer" => format!("skipped an answer to request {}", show("answer")),
        other => format!("{other}: {}", line.fields),
    };
    let described = format!("{} {}  {what}", line.timestamp, line.origin);
    format!("{}\n", visible_line(&described))
}

fn conclusion(lines: &[Line]) -> &'static str {
    let was_cancelled = |line: &&Line| field(&line.fields, "end") == "cancelled";
    let last = lines.iter().rfind(|line| !was_cancelled(line));
    let Some(last) = last.or(lines.last()) else {
        return "No line has this id: it reached another VM, was not read, or was left out.\n";
    };
    match (field(&last.fields, "event"), field(&last.fields, "end")) {
        ("attempt", "succeeded") => "The server's answer was passed on.\n",
        ("attempt", "failed") => "The server's own failure was passed on.\n",
        ("attempt", "cancelled") => {
            "The only send was cancelled: the caller left, or the VM ended.\n"
        }
        ("cut_by_exit", _) => "The VM exited before there was an answer.\n",
        ("answer_cut_by_exit", _) => "The VM exited before the answer was written.\n",
        ("request_task_failed", _) => "The VM's program failed while it served the request.\n",
        ("attempt", _) => "No final line: the VM ended, or the line was left out.\n",
        ("crossed_answer", _) => "No line of the attempt's end: it was cancelled or left out.\n",
        _ => "",
    }
}
