//! `catalogue`: check, get, put, list, status.

use std::{
    fs,
    io::Read,
    path::{Path, PathBuf},
};

use notch_callers::{
    call::parse_kind,
    view::{CatalogueView, EntryView},
};
use notch_catalogue::check;
use notch_http::prelude::*;
use notch_messages::entry::EntryKind;
use serde_json::{Value, json};

use super::{
    args::{CatalogueCommand, CheckArgs, GetArgs, ListArgs, PutArgs},
    error::CliError,
    gateway::GatewayClient,
    output::CommandOutput,
};

/// Runs a command that needs a gateway.
pub(super) async fn run(
    client: &GatewayClient,
    command: &CatalogueCommand,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    match command {
        CatalogueCommand::Check(check) => check_files(check, output),
        CatalogueCommand::Get(get) => show_entry(client, get, output).await,
        CatalogueCommand::Put(put) => put_entry(client, put, output).await,
        CatalogueCommand::List(list) => list_entries(client, list, output).await,
        CatalogueCommand::Status(_) => survey(client, output).await,
    }
}

/// Checks entry files; tells every fault of every file.
pub(super) fn check_files(args: &CheckArgs, output: &mut CommandOutput) -> Result<(), CliError> {
    let mut files = Vec::new();
    for path in &args.paths {
        collect_files(path, &mut files)?;
    }
    if files.is_empty() {
        return Err(CliError::Usage("no KIND/NAME.json file to check".to_owned()));
    }
    let mut faults = Vec::new();
    for file in &files {
        let (kind, name) = file_entry(file)?;
        let text = fs::read(file).map_err(|error| CliError::File(file.clone(), error))?;
        let found = check(kind, &name, &text).err().unwrap_or_default();
        faults.extend(found.iter().map(|fault| format!("{}: {fault}", file.display())));
    }
    if output.is_json() {
        output.json(&json!({ "checked": files.len(), "faults": faults }));
        return if faults.is_empty() { Ok(()) } else { Err(CliError::Told) };
    }
    if !faults.is_empty() {
        return Err(CliError::Invalid(faults));
    }
    output.line(&format!("{} entries are valid", files.len()));
    Ok(())
}

/// A file itself, or every `KIND/NAME.json` below a folder, in order.
fn collect_files(path: &Path, files: &mut Vec<PathBuf>) -> Result<(), CliError> {
    if !path.is_dir() {
        files.push(path.to_owned());
        return Ok(());
    }
    let failed = |error| CliError::File(path.to_owned(), error);
    let mut below = Vec::new();
    for item in fs::read_dir(path).map_err(failed)? {
        below.push(item.map_err(failed)?.path());
    }
    below.sort();
    for item in below {
        let is_entry = item.extension().is_some_and(|extension| extension == "json");
        if item.is_dir() || is_entry {
            collect_files(&item, files)?;
        }
    }
    Ok(())
}

/// The entry that a file's path names.
fn file_entry(file: &Path) -> Result<(EntryKind, String), CliError> {
    let folder = file.parent().and_then(Path::file_name).and_then(|name| name.to_str());
    let name = file.file_stem().and_then(|name| name.to_str());
    let wrong = || CliError::Usage(format!("{} is not named KIND/NAME.json", file.display()));
    let kind = folder.and_then(parse_kind).ok_or_else(wrong)?;
    Ok((kind, name.ok_or_else(wrong)?.to_owned()))
}

async fn show_entry(
    client: &GatewayClient,
    args: &GetArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let path = ["operator", "catalogue", args.kind.as_str(), args.name.as_str()];
    let view: EntryView = client.get(&path).await?;
    if output.is_json() {
        output.json(&view);
        return Ok(());
    }
    let text: Value = view.entry.as_ref().map_or(Value::Null, |entry| json!(entry));
    let pretty = serde_json::to_string_pretty(&text);
    output.line(&pretty.map_err(|_| CliError::Malformed(200))?);
    output.note(&format!("version {}", view.version));
    Ok(())
}

/// Writes an entry. An edit whose answer was lost is sent again: it names its base version, so it
/// takes effect once at most, and the second try then meets the first one's own text.
async fn put_entry(
    client: &GatewayClient,
    args: &PutArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let kind = parse_kind(&args.kind)
        .ok_or_else(|| CliError::Usage("a kind is account, target, policy or leaving".into()))?;
    let text = read_file(&args.file)?;
    check(kind, &args.name, &text)
        .map_err(|faults| CliError::Invalid(faults.iter().map(ToString::to_string).collect()))?;
    let first = client.ask(edit(client, args, &text)?).await;
    let (view, remark): (EntryView, &str) = match first {
        Err(CliError::Http(ClientError::Lost(_)) | CliError::CutAnswer(_)) => {
            let again = client.ask(edit(client, args, &text)?).await;
            let view = settle_edit(client, args, &text, again).await?;
            (view, " (sent twice: the first answer was lost)")
        }
        Err(CliError::Conflict(_)) => {
            (settle_edit(client, args, &text, first).await?, " (it was stored already)")
        }
        first => (first?, ""),
    };
    if output.is_json() {
        output.json(&json!({ "kind": view.kind, "name": view.name, "version": view.version }));
    } else {
        output.line(&format!("{} {}: version {}{remark}", view.kind, view.name, view.version));
    }
    Ok(())
}

/// A conflict with one's own text is none: the edit, or the same one of another operator, took
/// effect before. Without this, who repeats an edit of unknown outcome is told of a race that
/// shows no difference.
async fn settle_edit(
    client: &GatewayClient,
    args: &PutArgs,
    text: &[u8],
    answer: Result<EntryView, CliError>,
) -> Result<EntryView, CliError> {
    let Err(CliError::Conflict(conflict)) = answer else { return answer };
    let path = ["operator", "catalogue", args.kind.as_str(), args.name.as_str()];
    let mine: Option<Value> = serde_json::from_slice(text).ok();
    let stored: Result<EntryView, CliError> = client.get(&path).await;
    let stored = stored.ok().filter(|stored| {
        let theirs = stored.entry.as_ref().map(|entry| json!(entry));
        theirs.is_some() && theirs == mine
    });
    stored.ok_or(CliError::Conflict(conflict))
}

/// The conditional request of an edit.
fn edit(client: &GatewayClient, args: &PutArgs, text: &[u8]) -> Result<Request, CliError> {
    let path = ["operator", "catalogue", args.kind.as_str(), args.name.as_str()];
    let mut request = client.request(Method::Put, &path);
    match (args.base, args.new) {
        (Some(version), false) => request.insert_header("if-match", format!("\"{version}\"")),
        (None, true) => request.insert_header("if-none-match", "*"),
        _ => {
            let detail = "give either --base VERSION, as get told it, or --new";
            return Err(CliError::Usage(detail.to_owned()));
        }
    };
    request.set_body(text);
    request.insert_header("content-type", "application/json");
    Ok(request)
}

fn read_file(path: &Path) -> Result<Vec<u8>, CliError> {
    let read = if path == Path::new("-") {
        let mut text = Vec::new();
        std::io::stdin().read_to_end(&mut text).map(|_| text)
    } else {
        fs::read(path)
    };
    read.map_err(|error| CliError::File(path.to_owned(), error))
}

async fn list_entries(
    client: &GatewayClient,
    args: &ListArgs,
    output: &mut CommandOutput,
) -> Result<(), CliError> {
    let mut path = vec!["operator", "catalogue"];
    path.extend(args.kind.as_deref());
    let view: CatalogueView = client.get(&path).await?;
    if output.is_json() {
        output.json(&view);
        return Ok(());
    }
    for entry in &view.entries {
        output.line(&format!("{:8} {:10} {}", entry.kind, entry.version, entry.name));
    }
    Ok(())
}

async fn survey(client: &GatewayClient, output: &mut CommandOutput) -> Result<(), CliError> {
    let report: Value = client.get(&["operator", "catalogue-status"]).await?;
    if output.is_json() {
        output.json(&report);
        return Ok(());
    }
    let count = |field: &str| report[field].as_u64().unwrap_or(0);
    let gateways = count("gateways");
    output.line(&format!("gateways  {} of {gateways} answered", count("answered")));
    output.line(&format!(
        "sidecars  {} of {} have all their entries",
        count("sidecars_current"),
        count("sidecars")
    ));
    for field in ["silent", "unclear", "refusing"] {
        let names = report[field].as_array().into_iter().flatten().filter_map(Value::as_str);
        for name in names {
            output.line(&format!("{field:9} {name}"));
        }
    }
    for entry in report["entries"].as_array().into_iter().flatten() {
        let kind = entry["kind"].as_str().unwrap_or("?");
        let name = entry["name"].as_str().unwrap_or("?");
        let (version, holders) = (&entry["version"], &entry["gateways"]);
        output.line(&format!("{kind:8} {name}: version {version} on {holders} of {gateways}"));
    }
    Ok(())
}
