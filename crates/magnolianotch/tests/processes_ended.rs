//! Daemons as processes of their own: their addresses, and their ends by SIGKILL and SIGTERM during a job.

#[path = "support/processes.rs"]
mod processes;
mod support;

use std::{
    io::ErrorKind,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use async_std::task;
use futures_util::future::join_all;
use magnolianotch::load::{OnlinePrompt, ReplyEnd};
use rstest::rstest;

use processes::{Daemon, ProcessFleet};
use support::{
    caller::FleetCaller,
    find,
    jobs::{AcceptedJob, known_job},
    one_fleet,
};

const ITEMS: u32 = 120;
/// Longest time for which another run of these tests may have a port: far above what one test takes.
const PORT_WAIT: Duration = Duration::from_secs(60);

/// Which processes end in the middle.
#[derive(Debug, Clone, Copy)]
enum EndedPart {
    Gateway,
    Sidecar,
    Both,
}

impl EndedPart {
    fn of(self, fleet: &mut ProcessFleet) -> Vec<&mut Daemon> {
        let gateway = &mut fleet.gateways[0];
        let sidecar = &mut fleet.sidecars[0];
        match self {
            Self::Gateway => vec![gateway],
            Self::Sidecar => vec![sidecar],
            Self::Both => vec![gateway, sidecar],
        }
    }
}

async fn running_job(fleet: &ProcessFleet, name: &str) -> (FleetCaller, AcceptedJob) {
    let caller = FleetCaller::new(fleet.callers.clone());
    let prompt = OnlinePrompt::numbered("first", 1, 30, 8);
    for turn in 0..2 {
        find("a gateway answers", || async {
            let end = caller.chat_once(turn, &prompt, fleet.profile.model, None).await;
            (end == ReplyEnd::Right).then_some(())
        })
        .await;
    }
    let job = known_job(fleet.profile.model, name, ITEMS);
    let accepted = AcceptedJob::submit(&caller, job).await;
    accepted.until_ended(&caller, u64::from(ITEMS) / 4).await;
    (caller, accepted)
}

// Symptom: after the loss of a process, items of a job are missing or there twice.
// Sequence: a quarter of the job is done; processes are killed by SIGKILL; a killed gateway comes
// back from its file, under the same name and addresses.
// Cause: what the process had not committed is gone; what it had handed out still runs.
#[rstest]
#[case::gateway(EndedPart::Gateway)]
#[case::sidecar(EndedPart::Sidecar)]
#[case::both(EndedPart::Both)]
fn killed_processes_lose_and_double_nothing(#[case] part: EndedPart) {
    let _alone = one_fleet();
    task::block_on(async {
        let name = format!("killed-{part:?}");
        let mut fleet = ProcessFleet::start(&name).await;
        let (caller, accepted) = running_job(&fleet, &name).await;
        part.of(&mut fleet).into_iter().for_each(Daemon::kill);
        if !matches!(part, EndedPart::Sidecar) {
            fleet.restart_gateway(0).await;
        }
        let resent = AcceptedJob::submit(&caller, accepted.job.clone()).await;
        assert_eq!(resent.id, accepted.id, "a resend is the same job");
        accepted.check_whole(&caller).await;
    });
}

// Symptom: a planned stop loses work, or its process must be killed in the end.
// Sequence: a quarter of a job is done and streams run; processes get SIGTERM; at the end all do.
// Cause: a stop that doesn't hand over or give back what it has, or that never ends.
#[rstest]
#[case::gateway(EndedPart::Gateway)]
#[case::sidecar(EndedPart::Sidecar)]
#[case::both(EndedPart::Both)]
fn processes_asked_to_end_lose_nothing_and_exit_with_0(#[case] part: EndedPart) {
    let _alone = one_fleet();
    task::block_on(async {
        let name = format!("ended-{part:?}");
        let mut fleet = ProcessFleet::start(&name).await;
        let (caller, accepted) = running_job(&fleet, &name).await;
        let model = fleet.profile.model;
        let prompts: Vec<_> =
            (0..16).map(|number| OnlinePrompt::numbered("end", number, 40, 60)).collect();
        let calls = prompts.iter().enumerate().map(|(number, prompt)| {
            let caller = caller.clone();
            async move { caller.chat(number, prompt, model, &format!("end {number}")).await }
        });
        let stop = async {
            let mut parts = part.of(&mut fleet);
            parts.iter().for_each(|daemon| daemon.ask_to_end());
            for daemon in &mut parts {
                assert!(daemon.ended().await.success(), "SIGTERM ends it with 0");
            }
        };
        let (ends, ()) = futures_util::future::join(join_all(calls), stop).await;
        assert!(ends.iter().all(|end| *end == ReplyEnd::Right), "{ends:?}");
        accepted.check_whole(&caller).await;
    });
}

/// Takes a port as the system may give it to any outgoing connection. Waits while another run of this test has it.
fn take_port(address: SocketAddr) -> TcpListener {
    let began = Instant::now();
    loop {
        match TcpListener::bind((Ipv4Addr::LOCALHOST, address.port())) {
            Ok(listener) => return listener,
            Err(error) if error.kind() == ErrorKind::AddrInUse && began.elapsed() < PORT_WAIT => {
                thread::sleep(Duration::from_millis(20));
            }
            Err(error) => panic!("the port can't be taken: {error}"),
        }
    }
}

// Guards against ports that are free when settings are written and taken when the daemon starts.
#[test]
fn daemons_start_though_connections_were_given_their_ports() {
    let _alone = one_fleet();
    task::block_on(async {
        let mut taken: Vec<TcpListener> = Vec::new();
        let take = |address: SocketAddr| {
            if taken.iter().all(|l| l.local_addr().is_ok_and(|at| at.port() != address.port())) {
                taken.push(take_port(address));
            }
        };
        ProcessFleet::start_after("ports", take).await;
        assert!(!taken.is_empty(), "the fleet names its daemons' addresses");
    });
}
