//! The command line against a small gateway, over real connections.

#![allow(clippy::unwrap_used, reason = "a surprise fails the test")]

use std::{
    collections::BTreeMap,
    fs,
    io::{self, Write},
    path::PathBuf,
    process::Command,
    sync::{Arc, Mutex},
};

use async_std::task;
use magnolianotch::cli::{CommandOutput, ExitKind, run};
use notch_callers::prelude::*;
use notch_http::prelude::*;
use notch_messages::prelude::*;
use notch_types::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

/// What the small gateway holds.
#[derive(Default)]
struct World {
    entries: BTreeMap<(EntryKind, String), (u64, Payload)>,
    last_version: u64,
    /// Lines of each job, by id.
    jobs: BTreeMap<JobId, Vec<String>>,
    /// Looks at a job until it is done.
    looks_left: u32,
    cancelled: bool,
    /// The next answer breaks off after its head.
    cut_next: bool,
}

type Shared = Arc<Mutex<World>>;

async fn answer(world: Shared, request: Request) -> Response {
    let head = CallHead::parse(&request).unwrap();
    if head.bearer.as_deref() != Some("secret") {
        return refusal_response(&Refusal::not_run(RefusalReason::Unauthorized, "no such key"));
    }
    let call = read_call(head, request, 1 << 20).await.unwrap();
    let mut response = match call {
        CallerRequest::SubmitJob(job) => submit(&world, job).await,
        CallerRequest::PutEntry(put) => put_entry(&mut world.lock().unwrap(), put),
        CallerRequest::Plain(route) => plain(&mut world.lock().unwrap(), route),
        _ => Response::new(404),
    };
    if std::mem::take(&mut world.lock().unwrap().cut_next) {
        let length = response.len().map(|length| length + 1);
        let body = response.take_body();
        response.set_body(Body::from_reader(body, length));
    }
    response
}

async fn submit(world: &Shared, job: JobCall) -> Response {
    let mut upload = JobUpload::new(job.body, IntakeSettings::default());
    let mut lines = Vec::new();
    loop {
        match upload.next_chunk().await {
            Ok(Some(chunk)) => {
                let text = String::from_utf8(chunk.payload.0).unwrap();
                lines.extend(text.lines().map(str::to_owned));
            }
            Ok(None) => break,
            Err(refusal) => return refusal_response(&refusal),
        }
    }
    let content = format!("{:x}", upload.summary().unwrap().content);
    let key = job.options.key.unwrap_or(content);
    let id = JobId::derive(&AccountName::new("a"), &key, 8);
    let mut world = world.lock().unwrap();
    let resend = world.jobs.insert(id, lines).is_some();
    accepted_response(&progress(&world, id), resend)
}

fn progress(world: &World, job: JobId) -> JobProgress {
    let total = world.jobs[&job].len() as u32;
    let phase = match (world.cancelled, world.looks_left) {
        (true, _) => JobPhase::Cancelled,
        (false, 0) => JobPhase::Done,
        _ => JobPhase::Running,
    };
    let answered = if phase == JobPhase::Done { total } else { 0 };
    let target = TargetName::new("diary");
    let due = WallTime(1_000);
    JobProgress { job, target, phase, due, total, answered, failed: 0, cancelled: 0, leased: 0 }
}

fn put_entry(world: &mut World, put: PutCall) -> Response {
    let key = (put.key.kind, put.key.name.clone());
    let current = world.entries.get(&key).cloned();
    let version = current.as_ref().map(|(version, _)| EntryVersion(*version));
    if version != put.base {
        let theirs = current.map(|(_, text)| text);
        let shown = format!("- {}\n+ {}", text_of(theirs.as_deref()), text_of(Some(&put.body)));
        return ConflictView::new(put.base, version, theirs.as_deref(), shown).response();
    }
    world.last_version += 1;
    world.entries.insert(key, (world.last_version, put.body.clone()));
    let version = EntryVersion(world.last_version);
    entry_response(&EntryRecord { key: put.key, version, body: put.body })
}

fn text_of(bytes: Option<&[u8]>) -> String {
    String::from_utf8_lossy(bytes.unwrap_or_default()).into_owned()
}

fn plain(world: &mut World, route: CallRoute) -> Response {
    match route {
        CallRoute::GetEntry(key) => match world.entries.get(&(key.kind, key.name.clone())) {
            Some((version, body)) => {
                let version = EntryVersion(*version);
                entry_response(&EntryRecord { key, version, body: body.clone() })
            }
            None => refusal_response(&Refusal::not_run(RefusalReason::NotFound, "no such entry")),
        },
        CallRoute::ListEntries { .. } => {
            let stamps = world.entries.iter().map(|((kind, name), (version, _))| EntryStamp {
                key: EntryKey { kind: *kind, name: name.clone() },
                version: EntryVersion(*version),
            });
            let entries = stamps.map(|stamp| EntryView::from(&stamp)).collect();
            json_response(StatusCode::Ok, &CatalogueView { entries })
        }
        CallRoute::JobStatus(job) => {
            let response = job_response(&progress(world, job));
            world.looks_left = world.looks_left.saturating_sub(1);
            response
        }
        CallRoute::CancelJob(job) => {
            world.cancelled = true;
            job_response(&progress(world, job))
        }
        CallRoute::JobResults { job, from, limit } => {
            let lines = world.jobs[&job].iter().zip(0..).skip(from.0 as usize);
            let lines = lines.take(limit.unwrap_or(u32::MAX) as usize);
            let text = lines.map(|(line, item)| result(line, item)).collect::<Vec<_>>().concat();
            let mut response = Response::new(200);
            response.set_body(text);
            response
        }
        CallRoute::Status => json_response(
            StatusCode::Ok,
            &json!({
                "gateway": "gw-1", "store_up": false, "catalogue_ready": true, "entries_in_force": 5,
                "callers_waiting": 2, "open_items": 7,
                "gateways": [
                    {"vm": "gw-1", "domain": "east", "address": "10.0.0.1:7101", "state": "alive"}],
                "sidecars": [
                    {"vm": "t-1", "draining": false, "targets": [{"target": "diary", "up": true,
                        "online_running": 3, "online_waiting": 1, "batch_running": 4, "limit": 16}]},
                    {"vm": "t-20", "draining": true, "targets": []}],
                "shards": [{"shard": 0, "owner": "gw-1", "epoch": 2}, {"shard": 1, "epoch": 1},
                    {"shard": 2, "owner": "gw-1", "epoch": 9}],
            }),
        ),
        CallRoute::CatalogueStatus => json_response(
            StatusCode::Ok,
            &json!({
                "gateways": 3, "answered": 2, "silent": ["gw-3"], "sidecars": 4,
                "sidecars_current": 4,
                "entries": [{"kind": "target", "name": "diary", "version": 7, "gateways": 2}],
            }),
        ),
        CallRoute::Explain(NoteSubject::Target(_)) => json_response(
            StatusCode::Ok,
            &json!([
                {"gateway": "gw-2", "forgotten": 3, "notes": [note(20, "retried", Some("target_lost"))]},
                {"gateway": "gw-1", "forgotten": 0, "notes": [note(10, "routed", None)],
                    "now": ["diary: version 7 in force, class mixed"]},
            ]),
        ),
        _ => {
            refusal_response(&Refusal::not_run(RefusalReason::NotFound, "not here").retry_after(5))
        }
    }
}

fn note(at: u64, code: &str, reason: Option<&str>) -> Value {
    json!({
        "at": format!("T{at}"), "at_ms": at, "last_ms": at, "times": 1, "code": code,
        "vm": "t-1", "reason": reason, "detail": "2 waiting",
    })
}

fn result(line: &str, item: u32) -> Vec<u8> {
    let line: Value = serde_json::from_str(line).unwrap();
    let outcome = ItemOutcome::Answered {
        status: 200,
        body: Payload::from(line["body"].to_string().as_str()),
    };
    let custom_id = line["custom_id"].as_str().unwrap().to_owned();
    result_line(&ResultLine {
        item: ItemIndex(item),
        custom_id,
        status: ItemStatus::Ended(outcome),
    })
    .unwrap()
}

/// A running gateway and a folder for this test's files.
struct Bench {
    server: ServerHandle,
    world: Shared,
    folder: PathBuf,
}

fn start(test: &str) -> Bench {
    let world = Shared::default();
    let served = world.clone();
    let handler = move |request: Request| -> BoxFuture<'static, Response> {
        Box::pin(answer(served.clone(), request))
    };
    let server = HttpServer::bind("127.0.0.1:0", ServerLimits::default(), handler);
    let server = task::block_on(server).unwrap();
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test);
    let _ = fs::remove_dir_all(&folder);
    fs::create_dir_all(&folder).unwrap();
    Bench { server, world, folder }
}

/// A stream that can be read afterwards.
#[derive(Clone, Default)]
struct Captured(Arc<Mutex<Vec<u8>>>);

impl Write for Captured {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Captured {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

/// Exit kind, results and notes.
type Ran = (ExitKind, String, String);

fn run_line(words: &[&str]) -> Ran {
    let (results, notes) = (Captured::default(), Captured::default());
    let mut output = CommandOutput::to_streams(Box::new(results.clone()), Box::new(notes.clone()));
    let arguments: Vec<&str> =
        std::iter::once("magnolianotch").chain(words.iter().copied()).collect();
    let kind = run(&arguments, &mut output);
    (kind, results.text(), notes.text())
}

impl Bench {
    /// Runs `line`, whose `{dir}` is this test's folder.
    fn run(&self, line: &str) -> Ran {
        let line = line.replace("{dir}", self.folder.to_str().unwrap());
        let gateway = format!("http://{}", self.server.address());
        let mut words: Vec<&str> = line.split(' ').collect();
        words.extend(["--gateway", &gateway, "--key", "secret"]);
        run_line(&words)
    }

    fn file(&self, name: &str, text: &str) {
        let path = self.folder.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
}

#[rstest]
#[case("", ExitKind::Usage, "One of the following subcommands")]
#[case("dance", ExitKind::Usage, "dance")]
#[case("status --gateway ftp://x", ExitKind::Usage, "no http URL")]
#[case("job status 7", ExitKind::Usage, "7 is no job's id")]
#[case("job submit /no/such/file --target m --due 6h", ExitKind::Usage, "/no/such/file")]
#[case("job submit /no/such/file --target m --due soon", ExitKind::Usage, "due time")]
#[case("stand-in service --delay soon", ExitKind::Usage, "no duration")]
#[case("stand-in engine --model diary", ExitKind::Usage, "NAME:VERSION")]
#[case("status --gateway http://127.0.0.1:1", ExitKind::Unreachable, "connection refused")]
fn wrong_use_is_told(#[case] line: &str, #[case] kind: ExitKind, #[case] told: &str) {
    let words: Vec<&str> = line.split(' ').filter(|word| !word.is_empty()).collect();
    let (ended, results, notes) = run_line(&words);
    assert_eq!((ended, results.as_str()), (kind, ""));
    assert!(notes.contains(told), "{notes}");
}

#[test]
fn the_program_ends_with_its_exit_codes() {
    let program = |words: &[&str]| {
        let ended = Command::new(env!("CARGO_BIN_EXE_magnolianotch")).args(words).output().unwrap();
        (ended.status.code().unwrap(), String::from_utf8(ended.stdout).unwrap())
    };
    let (code, help) = program(&["--help"]);
    assert_eq!(code, 0);
    for line in ["0 done", "3 the gateway can't be reached", "5 sent, and the outcome is unknown"] {
        assert!(help.contains(line), "{help}");
    }
    assert_eq!(program(&["dance"]).0, 2);
    let (code, error) = program(&["--json", "--gateway", "http://127.0.0.1:1", "status"]);
    let error: Value = serde_json::from_str(&error).unwrap();
    assert_eq!((code, &error["error"]["code"]), (3, &json!("unreachable")));
}

#[test]
fn refusals_are_passed_on() {
    let bench = start("refusals");
    let gateway = format!("http://{}", bench.server.address());
    let (kind, _, notes) = run_line(&["status", "--gateway", &gateway, "--key", "wrong"]);
    assert_eq!(kind, ExitKind::Refused);
    assert!(notes.contains("refused (unauthorized, not run): no such key"), "{notes}");
    let (kind, results, _) = bench.run("explain vm x --json");
    let error: Value = serde_json::from_str(&results).unwrap();
    assert_eq!((kind, &error["error"]["code"]), (ExitKind::Refused, &json!("not_found")));
}

// Symptom: an operator's edit silently undoes a colleague's. Sequence: both read version 1, the
// colleague writes, then the operator does. Cause: an edit that names no version, or a refusal
// that shows one side only.
#[test]
fn lost_race_shows_both_sides() {
    let bench = start("race");
    bench.file("a.json", r#"{"latency_weight": 0.5}"#);
    bench.file("b.json", r#"{"latency_weight": 0.9}"#);
    assert_eq!(bench.run("catalogue put policy default {dir}/a.json").0, ExitKind::Usage);
    let (kind, results, _) = bench.run("catalogue put policy default {dir}/a.json --new");
    assert_eq!((kind, results.as_str()), (ExitKind::Done, "policy default: version 1\n"));
    let (_, results, notes) = bench.run("catalogue get policy default");
    assert_eq!(
        (results.as_str(), notes.as_str()),
        ("{\n  \"latency_weight\": 0.5\n}\n", "version 1\n")
    );
    assert_eq!(bench.run("catalogue put policy default {dir}/b.json --base 1").0, ExitKind::Done);

    let (kind, results, notes) = bench.run("catalogue put policy default {dir}/a.json --base 1");
    assert_eq!((kind, results.as_str()), (ExitKind::Conflict, ""));
    for shown in ["- {\"latency_weight\": 0.9}", "+ {\"latency_weight\": 0.5}", "--base 2"] {
        assert!(notes.contains(shown), "{notes}");
    }
    let (_, results, _) = bench.run("catalogue list policy --json");
    let listed: Value = serde_json::from_str(&results).unwrap();
    assert_eq!(listed["entries"][0]["version"], json!(2));
}

// Symptom: an edit is told as a conflict with an unknown colleague. Sequence: the edit takes
// effect, its answer is lost, and it is sent again. Cause: the conflict is with itself.
#[test]
fn edit_with_a_lost_answer_is_settled() {
    let bench = start("settled");
    bench.file("a.json", r#"{"latency_weight": 0.5}"#);
    bench.world.lock().unwrap().cut_next = true;
    let (kind, results, notes) = bench.run("catalogue put policy default {dir}/a.json --new");
    assert_eq!(kind, ExitKind::Done, "{notes}");
    assert!(results.starts_with("policy default: version 1 (sent twice"), "{results}");
    // The same by hand: who was told that the outcome is unknown puts once more.
    let ran = bench.run("catalogue put policy default {dir}/a.json --new");
    let told = "policy default: version 1 (it was stored already)\n".to_owned();
    assert_eq!(ran, (ExitKind::Done, told, String::new()));
    assert_eq!(bench.world.lock().unwrap().last_version, 1);
}

#[test]
fn every_fault_of_every_file_is_told() {
    let bench = start("check");
    bench.file("good/policy/default.json", r#"{"latency_weight": 0.5}"#);
    assert_eq!(bench.run("catalogue check {dir}/good").0, ExitKind::Done);
    bench.file("bad/policy/default.json", r#"{"latency_weight": 7, "retry_budgte": 1}"#);
    bench.file("bad/target/m.json", "{");
    let (kind, _, notes) = bench.run("catalogue check {dir}/bad");
    assert_eq!(kind, ExitKind::Refused);
    for told in ["default.json: latency_weight", "default.json: retry_budgte", "m.json: "] {
        assert!(notes.contains(told), "{notes}");
    }
    let (kind, results, _) = bench.run("catalogue check {dir}/bad --json");
    let report: Value = serde_json::from_str(&results).unwrap();
    assert_eq!((kind, &report["checked"]), (ExitKind::Refused, &json!(2)));
    assert_eq!(report["faults"].as_array().unwrap().len(), 3, "{report}");
    let (kind, _, notes) =
        bench.run("catalogue put policy default {dir}/bad/policy/default.json --new");
    assert_eq!(kind, ExitKind::Refused, "{notes}");
    assert_eq!(bench.world.lock().unwrap().last_version, 0, "nothing was sent");
}

fn job_lines(count: u32) -> String {
    let text = "x".repeat(300);
    let line = |n| format!("{{\"custom_id\":\"note {n}\",\"body\":{{\"text\":\"{text}\"}}}}\n");
    (0..count).map(line).collect()
}

#[test]
fn jobs_are_submitted_watched_read_and_cancelled() {
    let bench = start("jobs");
    bench.file("lines", &job_lines(10_000));
    bench.world.lock().unwrap().looks_left = 2;
    let (kind, results, notes) =
        bench.run("job submit {dir}/lines --target diary --due 6h --wait --json");
    assert_eq!(kind, ExitKind::Done, "{notes}");
    let view: Value = serde_json::from_str(&results).unwrap();
    assert_eq!((&view["phase"], &view["items"]["answered"]), (&json!("done"), &json!(10_000)));
    let id = view["id"].as_str().unwrap();
    let (_, results, _) = bench.run("job submit {dir}/lines --target diary --due 6h");
    assert!(results.contains("was submitted before") && results.contains(id), "{results}");

    let (kind, results, _) = bench.run(&format!("job results {id}"));
    let ids = results.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
    let ids: Vec<String> = ids.map(|line| line["custom_id"].as_str().unwrap().to_owned()).collect();
    let expected: Vec<String> = (0..10_000).map(|n| format!("note {n}")).collect();
    assert_eq!((kind, ids), (ExitKind::Done, expected));
    let (_, results, _) = bench.run(&format!("job results {id} --from 7 --limit 1"));
    assert!(results.contains("\"note 7\"") && results.lines().count() == 1);
    bench.run(&format!("job results {id} --from 9998 --output {{dir}}/out"));
    assert_eq!(fs::read_to_string(bench.folder.join("out")).unwrap().lines().count(), 2);

    let (kind, results, _) = bench.run(&format!("job cancel {id}"));
    assert!(kind == ExitKind::Done && results.contains("cancelled"), "{results}");
}

// Symptom: a script takes half a results file for all of it, or gives a job up that is running.
// Sequence: a line is bad; the answer to a submission is lost; results break off. Cause: each
// ends like the others.
#[test]
fn doubtful_ends_have_their_own_exit_code() {
    let bench = start("doubt");
    let mut lines = job_lines(10_000);
    bench.file("good", &lines);
    lines
        .insert_str(lines.match_indices('\n').nth(4_999).unwrap().0 + 1, "{\"custom_id\":\"z\"}\n");
    bench.file("bad", &lines);
    let (kind, _, notes) = bench.run("job submit {dir}/bad --target diary --due 6h");
    assert_eq!(kind, ExitKind::Refused);
    assert!(notes.contains("line 5001: missing field `body`"), "{notes}");
    assert!(bench.world.lock().unwrap().jobs.is_empty());

    bench.world.lock().unwrap().cut_next = true;
    let (kind, _, notes) = bench.run("job submit {dir}/good --target diary --due 6h");
    assert_eq!(kind, ExitKind::Unknown);
    assert!(notes.contains("the same file is the same job"), "{notes}");
    let id = bench.world.lock().unwrap().jobs.keys().next().unwrap().to_string();
    bench.world.lock().unwrap().cut_next = true;
    let (kind, _, notes) = bench.run(&format!("job results {id}"));
    assert_eq!(kind, ExitKind::Unknown);
    assert!(notes.contains("broke off"), "{notes}");
}

#[test]
fn status_and_explanations_are_readable() {
    let bench = start("status");
    let (_, results, _) = bench.run("status");
    let expected = "\
seen by gw-1
object API  DOES NOT ANSWER
catalogue   5 entries in force
work        2 callers waiting here, 7 batch items open in the fleet

failure domain: none

gateway  failure domain  links at       state
gw-1     east            10.0.0.1:7101  alive

sidecar  state       target         online  waiting  batch  limit
t-1      takes work  diary          3       1        4      16
t-20     draining    no report yet

shards owned by  number  shard:epoch
NOBODY           1       1:1
gw-1             2       0:2 2:9
";
    assert_eq!(results, expected);
    assert!(bench.run("status --json").1.contains(r#""store_up":false"#));
    let (_, results, _) = bench.run("catalogue status");
    for shown in ["2 of 3 answered", "silent    gw-3", "target   diary: version 7 on 2 of 3"] {
        assert!(results.contains(shown), "{results}");
    }
    let (_, results, notes) = bench.run("explain target diary");
    let expected = "T10 [gw-1] routed at t-1: 2 waiting\n\
                    T20 [gw-2] retried at t-1 (target_lost): 2 waiting\n\
                    now [gw-1] diary: version 7 in force, class mixed\n";
    assert_eq!(
        (results.as_str(), notes.as_str()),
        (expected, "3 older notes are not kept any more\n")
    );
}

// Symptom: a job that is submitted again next day ends at once with yesterday's results.
// Sequence: the same file is sent without an idempotency key. Cause: nothing said what that means.
#[test]
fn same_lines_are_told_to_be_the_same_job() {
    let bench = start("same");
    bench.file("plans.ndjson", &job_lines(2));
    let line = "job submit {dir}/plans.ndjson --target diary --due 6h";
    assert_eq!(bench.run(line).2, "");
    let (kind, results, notes) = bench.run(line);
    assert!(kind == ExitKind::Done && results.contains("was submitted before"), "{results}");
    assert!(notes.contains("--idempotency-key"), "{notes}");
}
