//! A gateway process on the smallest VM whose clients read slowly or not at all.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{fs, net::SocketAddr, path::PathBuf, time::Duration};

use async_std::{io::WriteExt, net::TcpStream, task};
use notch_h1::prelude::WireReader;
use notch_platform_standins::{
    client::{HOST, StandInClient, head_bytes, read_bytes},
    store::{StandInStore, store_with_targets},
    target::{Conduct, StandInTarget},
};
use notch_soak::{config::gateway_config, process::GatewayProcess};
use serde_json::json;

/// Memory of the smallest VM.
const PROCESS_MB: usize = 120;
/// Number of clients that don't read.
const SLOW_CLIENTS: usize = 200;
/// Number of clients that don't read a large answer of a target, which run at the same time.
const LARGE_ANSWERS: usize = 60;
/// Timeout of each wait, far above the expected duration under load.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Receive buffer of a client that reads slowly; with a large one the kernel would take most of an answer.
const CLIENT_BUFFER_BYTES: usize = 4 << 10;
/// The same for a client that reads its answer in the end.
const LATE_READER_BUFFER_BYTES: usize = 64 << 10;
/// Results of the stored job, which together are a little less than the largest page.
const RESULTS: usize = 20;
const RESULT_BYTES: usize = 44_000;

/// A gateway process with targets and a finished job in the store.
struct SmallVm {
    process: GatewayProcess,
    targets: Vec<StandInTarget>,
}

impl SmallVm {
    async fn start(name: &str, targets: usize) -> Self {
        let mut started = Vec::new();
        for n in 0..targets {
            started.push(StandInTarget::start(&format!("t-{n}")).await);
        }
        let targets = started;
        let store = store_with_targets(&targets.iter().collect::<Vec<_>>()).await;
        put_finished_job(&store);
        let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("slow-readers");
        fs::create_dir_all(&folder).unwrap();
        let mut config = gateway_config(name, store.address);
        config.memory.process_limit = (PROCESS_MB << 20) as u64;
        let program = PathBuf::from(env!("CARGO_BIN_EXE_notch-entry"));
        let mut process = GatewayProcess::new(&program, &folder, &config).unwrap();
        process.start().unwrap();
        let vm = Self { process, targets };
        until("a ready gateway", || async { vm.client().is_ready().await }).await;
        vm
    }

    fn client(&self) -> StandInClient {
        StandInClient { address: self.process.clients }
    }

    /// Peak resident memory of the process, MB.
    fn peak_mb(&self) -> usize {
        let path = format!("/proc/{}/status", self.process.pid().unwrap());
        let status = fs::read_to_string(path).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap() >> 10
    }

    /// Asserts that the process holds little enough and still serves others.
    async fn assert_serving(&self, id: &str) {
        let answer = self.client().post("/once/x", id, "", "hi").await;
        assert_eq!(answer.map(|answer| answer.head.status), Some(200), "another client's request");
        let peak = self.peak_mb();
        assert!(peak < PROCESS_MB, "the process reached {peak} MB");
    }
}

async fn until<F: Future<Output = bool>>(what: &str, check: impl Fn() -> F) {
    let began = std::time::Instant::now();
    while !check().await {
        assert!(began.elapsed() < WAIT_TIMEOUT, "timed out waiting for {what}");
        task::sleep(Duration::from_millis(20)).await;
    }
}

fn put_finished_job(store: &StandInStore) {
    let item = |n| json!({"id": format!("i{n}"), "path": "/jobs/x", "headers": {}, "body": "aGk=", "tokens": 9});
    let items: Vec<_> = (0..RESULTS).map(item).collect();
    store.put(
        "notch-jobs",
        "j1",
        json!({"owner": "g-9#1", "accepted_at_ms": 5_000, "host": HOST, "path": "/jobs/new",
            "route": "jobs", "limit_tokens": 90, "due_ms": 18_000, "lifetime_ms": 60_000,
            "max_attempts": 2, "parts": 0, "items": items}),
    );
    store.set_status("notch-jobs", "j1", json!({"owner": "g-9#1", "closed": true}));
    let output = "x".repeat(RESULT_BYTES);
    let line = |n| json!({"id": format!("i{n}"), "state": "Completed", "output": output});
    let lines: Vec<_> = (0..RESULTS).map(line).collect();
    store.put("notch-results", "j1.000000", json!({"writer": "g-9#1", "lines": lines}));
}

/// Connects with a small receive buffer and sends `request`; the answer is not read.
async fn send_without_reading(address: SocketAddr, buffer: usize, request: &[u8]) -> TcpStream {
    let stream = std::net::TcpStream::connect(address).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(&stream, buffer).unwrap();
    let mut stream = TcpStream::from(stream);
    stream.write_all(request).await.unwrap();
    stream
}

async fn send_from(
    (clients, buffer): (usize, usize),
    vm: &SmallVm,
    request: impl Fn(usize) -> Vec<u8>,
) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for n in 0..clients {
        streams.push(send_without_reading(vm.process.clients, buffer, &request(n)).await);
    }
    streams
}

/// Guards against a process that goes over its VM's memory because clients don't read the results of jobs.
#[test]
fn clients_that_do_not_read_results_leave_the_process_within_its_memory() {
    task::block_on(async {
        let vm = SmallVm::start("g-results", 1).await;
        let slow = send_from((SLOW_CLIENTS, CLIENT_BUFFER_BYTES), &vm, |_| read_bytes("j1")).await;
        vm.assert_serving("a1").await;
        let (status, page) = vm.client().results("j1", 0).await;
        assert!(status == 503 || page["next"].as_u64() >= Some(1), "{status}");
        drop(slow);
        until("the whole page", || async {
            vm.client().results("j1", 0).await.1["next"] == RESULTS
        })
        .await;
        vm.assert_serving("a2").await;
    });
}

/// Guards against a process that goes over its VM's memory because clients send large bodies slowly; what it refuses
/// for that has not run.
#[test]
fn large_bodies_beyond_the_memory_are_refused_before_they_run() {
    task::block_on(async {
        let vm = SmallVm::start("g-bodies", 1).await;
        let length = 800_000;
        let head = |n| head_bytes("/once/x", &format!("b{n}"), length);
        let mut streams = send_from((SLOW_CLIENTS, CLIENT_BUFFER_BYTES), &vm, head).await;
        let refused = streams.split_off(SLOW_CLIENTS - 1).remove(0);
        let answer = WireReader::new(refused).response_head(1 << 14).await.unwrap();
        assert_eq!(answer.status, 503);
        assert!(answer.headers.get("Retry-After").is_some());
        let part = vec![b'x'; length - 1];
        for stream in &mut streams {
            // The connections of refused requests are closed.
            let _ = async_std::future::timeout(Duration::from_millis(50), stream.write_all(&part))
                .await;
        }
        vm.assert_serving("a1").await;
        assert_eq!(vm.targets[0].ran(), ["a1"]);
    });
}

/// Guards against a process that goes over its VM's memory because clients don't read large answers of targets. An
/// answer that is ready is delivered whole once its client reads.
#[test]
fn large_answers_beyond_the_memory_are_relayed_as_they_are_read() {
    task::block_on(async {
        let vm = SmallVm::start("g-answers", 30).await;
        let bytes = 4_000_000;
        vm.targets.iter().for_each(|t| t.conduct(&[Conduct::Large(bytes); LARGE_ANSWERS]));
        let request = |n| head_bytes("/plain/x", &format!("c{n}"), 0);
        let mut streams = send_from((LARGE_ANSWERS, LATE_READER_BUFFER_BYTES), &vm, request).await;
        until("all answers to begin", || async {
            vm.targets.iter().map(|target| target.ran().len()).sum::<usize>() >= LARGE_ANSWERS
        })
        .await;
        task::sleep(Duration::from_millis(500)).await;
        let peak = vm.peak_mb();
        assert!(peak < PROCESS_MB, "the process reached {peak} MB");
        let last = streams.pop().unwrap();
        let mut reader = WireReader::new(last);
        let head = reader.response_head(1 << 14).await.unwrap();
        let body = reader.whole_body(head.framing().unwrap(), bytes).await.unwrap();
        assert_eq!((head.status, body.len()), (200, bytes));
    });
}
