//! `trace`: a request's history from the logs of entry VMs.

use kingcuploftctl::args::{Command, parse};
use kingcuploftctl::exit::Code;
use kingcuploftctl::trace::trace_texts;

const LOST: &str = r#"{"timestamp":"2026-03-24T20:25:40.748383Z","level":"INFO","event":"attempt","request":"0d16","route":"r-1","server":"i-16","near":false,"age_ms":8,"running":0,"waiting":0,"slowness":1.0,"waited_ms":1,"took_ms":6,"left_ms":581,"end":"lost","detail":"connection failed"}"#;
const GAVE_UP: &str = r#"{"timestamp":"2026-03-24T20:25:40.748511Z","level":"INFO","event":"gave_up","request":"0d16","route":"r-1","status":502,"reason":"connection failed","attempts":1,"held_ms":7}"#;
const OTHER: &str = r#"{"timestamp":"2026-03-24T20:25:40.1Z","event":"refused","request":"ffff","status":404,"reason":"no such route"}"#;

fn logs(texts: &[(&str, &[&str])]) -> Vec<(String, Vec<u8>)> {
    let logs = texts.iter();
    logs.map(|(name, lines)| ((*name).to_owned(), lines.join("\n").into_bytes()))
        .collect()
}

/// Guards against lines of a failed request that are missed or printed out of order. They stand among other requests'
/// lines, out of order, and behind a log collector's prefix.
#[test]
fn lines_of_a_failed_request_are_printed_in_order_with_their_reasons() {
    let (prefixed, noise) = (format!("0.74 front-c-3 {GAVE_UP}"), "not a log line {");
    let logs = logs(&[("a.log", &[OTHER, noise]), ("b.log", &[&prefixed, LOST])]);
    let outcome = trace_texts("0d16", &logs);
    assert_eq!(outcome.code, Code::Success);
    let lines: Vec<&str> = outcome.out.lines().collect();
    assert_eq!(lines.len(), 2, "{}", outcome.out);
    assert!(lines[0].contains("b.log  sent to i-16 after 1 ms, its reading 8 ms old"));
    assert!(lines[0].ends_with("lost after 6 ms: connection failed"));
    assert!(lines[1].contains("0.74 front-c-3  answered 502 after 7 ms and 1 attempts"));
}

/// Guards against a cancelled attempt that hides the answer. A hedged lookup was answered by the second server, and the
/// first attempt was cancelled a moment later, so that its line is the last one. A cancelled attempt without another
/// one means that nobody waited for the answer any more.
#[test]
fn a_cancelled_send_does_not_hide_the_answer() {
    let cancelled = LOST.replace("\"lost\"", "\"cancelled\"");
    let cancelled = cancelled.replace("40.748383", "41.900000");
    let succeeded = LOST.replace("\"lost\"", "\"succeeded\"");
    let outcome = trace_texts("0d16", &logs(&[("a.log", &[&succeeded, &cancelled])]));
    assert!(outcome.out.contains("The server's answer was passed on."));
    let outcome = trace_texts("0d16", &logs(&[("a.log", &[&cancelled])]));
    assert!(outcome.out.contains("The only send was cancelled"));
}

#[test]
fn a_request_without_lines_is_reported() {
    let outcome = trace_texts("none", &logs(&[("a.log", &[OTHER])]));
    assert_eq!(outcome.code, Code::Failed);
    assert!(outcome.out.contains("No line has this id"));
}

#[test]
fn a_missing_end_and_dropped_lines_are_reported() {
    let left_out = r#"{"event":"lines_left_out","count":3}"#;
    let outcome = trace_texts("0d16", &logs(&[("a.log", &[LOST, left_out])]));
    assert!(outcome.out.contains("No final line"));
    assert!(outcome.out.contains("Some lines were left out"));
}

#[test]
fn the_command_line_takes_a_request_and_log_files() {
    let args = parse(["trace", "0d16", "a.log", "b.log"].map(Into::into)).unwrap();
    let files = vec!["a.log".into(), "b.log".into()];
    assert_eq!(args.command, Command::Trace("0d16".into(), files));
}
