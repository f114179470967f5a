//! `explain`: what happened and why, from the decisions' own notes.

use serde::Deserialize;
use serde_json::Value;

use super::{args::ExplainArgs, error::CliError, gateway::GatewayClient, output::CommandOutput};

/// The notes of one gateway.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct SubjectNotes {
    gateway: String,
    forgotten: u64,
    notes: Vec<NoteLine>,
    /// How the subject stands there now.
    now: Vec<String>,
}

/// One step.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct NoteLine {
    at: String,
    at_ms: u64,
    times: u64,
    code: String,
    vm: Option<String>,
    reason: Option<String>,
    detail: String,
}

/// Explains one subject.
pub(super) async fn run(
    client: &GatewayClient,
    args: &ExplainArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let answer: Value = client.get(&["operator", "explain", &args.kind, &args.id]).await?;
    if output.is_json() {
        output.json(&answer);
        return Ok(());
    }
    let books: Vec<SubjectNotes> =
        serde_json::from_value(answer).map_err(|_| CliError::Malformed(200))?;
    let forgotten: u64 = books.iter().map(|book| book.forgotten).sum();
    if forgotten > 0 {
        output.note(&format!("{forgotten} older notes are not kept any more"));
    }
    let mut lines: Vec<(&str, &NoteLine)> = books
        .iter()
        .flat_map(|book| book.notes.iter().map(|note| (book.gateway.as_str(), note)))
        .collect();
    lines.sort_by_key(|(_, note)| note.at_ms);
    if lines.is_empty() {
        output.note("no gateway keeps a note on this; notes end with the gateway's process");
    }
    for (gateway, note) in lines {
        output.line(&note_text(gateway, note));
    }
    for book in &books {
        for fact in &book.now {
            output.line(&format!("now [{}] {fact}", book.gateway));
        }
    }
    Ok(())
}

fn note_text(gateway: &str, note: &NoteLine) -> String {
    let mut text = format!("{} [{gateway}] {}", note.at, note.code);
    if let Some(vm) = &note.vm {
        text.push_str(&format!(" at {vm}"));
    }
    if let Some(reason) = &note.reason {
        text.push_str(&format!(" ({reason})"));
    }
    if note.times > 1 {
        text.push_str(&format!(", {} times", note.times));
    }
    if !note.detail.is_empty() {
        text.push_str(&format!(": {}", note.detail));
    }
    text
}
