//! Detects requests and prompt parts that crash targets, across all gateways.
//!
//! For each suspect one gateway, chosen by its fingerprint, counts the crashes for all, as requests with it come at any
//! gateway. It also grants the probes that find out whether a refused suspect is sound: one at a time among all gateways.
//! A second one counts along until the suspect is refused, so that the count outlasts the loss of either.
//! To broadcast every crash would cost as many messages as there are gateways.

use std::{
    cmp::Reverse,
    fmt,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use notch_messages::prelude::PeerMessage;
use notch_relay::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;

use crate::{
    clock::NodeClock,
    node::EntryNode,
    online::{
        crash_counts::CrashCounts,
        refusal_records::{self, RefusalRecords},
    },
    peers::table::PeerTable,
};

/// Maximum number of refused suspects that a gateway is told of when its link comes up.
const MAX_TOLD_REFUSALS: usize = 512;

/// Time within which another gateway grants a probe.
pub const PROBE_GRANT_WAIT: Duration = Duration::from_millis(30);

/// Number of gateways that count the crashes of a suspect.
const COUNTING_GATEWAYS: usize = 2;

/// A run that the crash of its target interrupted.
#[derive(Debug, Clone, Copy)]
pub struct InterruptedRun<'a> {
    /// The suspects of the request.
    pub suspects: RequestSuspects<'a>,
    /// The target.
    pub choice: &'a TargetChoice,
    /// Id of the last event that the run had passed on, or that the request went on after.
    pub reached: Option<u64>,
}

impl InterruptedRun<'_> {
    /// Names the incarnation: some targets restart under the same id.
    fn target(&self) -> String {
        match self.choice.born {
            0 => self.choice.id.clone(),
            born => format!("{}@{born}", self.choice.id),
        }
    }
}

/// What the detection of suspects needs.
#[derive(Debug, Clone, Copy)]
pub struct SuspectEdge<'a> {
    /// What is known of suspects.
    pub table: &'a Mutex<SuspectTable>,
    /// Changes of refusals that are to be recorded.
    pub records: &'a RefusalRecords,
    /// Whether crashes are to be recorded.
    pub counts: &'a CrashCounts,
    /// Name of this gateway.
    pub own: &'a VmName,
    /// Links to the other gateways.
    pub peers: &'a PeerTable,
    /// Clocks of the process.
    pub clock: NodeClock,
    /// Event log.
    pub log: &'a NodeLog,
    /// Exported metrics.
    pub metrics: &'a Metrics,
}

impl SuspectEdge<'_> {
    /// The table.
    pub fn table(&self) -> MutexGuard<'_, SuspectTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Decides whether a request with these suspects may run, and asks for a probe if one is due.
    pub fn admit(&self, suspects: RequestSuspects<'_>, has_begun: bool) -> SuspectAdmission {
        let admission = self.table().admit(suspects, has_begun, self.clock.mono());
        if let SuspectAdmission::Refused { suspect, asks_probe: true, .. } = admission {
            self.ask_probe(suspect, suspects.request);
        }
        admission
    }

    /// Time until it is worth to start an item, by what crashed under itself; zero if it is now. Asks for a probe if one is due.
    pub fn item_hold(&self, item: u64) -> Duration {
        if self.table().is_granted(item, self.clock.mono()) {
            return Duration::ZERO;
        }
        match self.admit_item(item) {
            SuspectAdmission::Refused { left, .. } => left.max(PROBE_GRANT_WAIT),
            SuspectAdmission::Admitted | SuspectAdmission::Probe => Duration::ZERO,
        }
    }

    /// Decides whether an item may start, by what crashed under itself, and asks for a probe if one is due.
    pub fn admit_item(&self, item: u64) -> SuspectAdmission {
        let admission = self.table().admit_item(item, self.clock.mono());
        if let SuspectAdmission::Refused { suspect, asks_probe: true, .. } = admission {
            self.ask_probe(suspect, item);
        }
        admission
    }

    /// Ends the refusal of an item that is given up.
    pub fn forget_item(&self, item: u64) {
        let suspect = CrashSuspect::Request(item);
        if self.table().refusal(suspect, self.clock.mono()).is_some() {
            self.note_cleared(suspect);
            self.announce_cleared(suspect);
        }
    }

    /// Records a complete successful answer to a request with these suspects, which proves them sound.
    pub fn note_answer(&self, suspects: RequestSuspects<'_>) {
        let findings = self.table().note_answer(suspects, self.clock.mono());
        for suspect in findings.cleared {
            self.announce_cleared(suspect);
        }
        for suspect in findings.reported {
            for vm in self.counting_gateways(suspect).iter().filter(|vm| *vm != self.own) {
                self.peers.send(vm, PeerMessage::SuspectCleared(suspect));
            }
        }
    }

    /// Reports that a target crashed under a run.
    pub fn report_crash(&self, run: InterruptedRun<'_>) {
        let InterruptedRun { suspects, reached, .. } = run;
        let target = run.target();
        let blamed = self.table().blamed(suspects, self.clock.mono());
        self.log_crash(&run, &blamed);
        for suspect in blamed {
            self.table().note_reported(suspect);
            let (request, target) = (suspects.request, target.clone());
            let report = CrashReport { suspect, target, request, reached };
            for vm in self.counting_gateways(suspect) {
                if vm == *self.own {
                    self.count_crash(&report);
                } else {
                    self.peers.send(&vm, PeerMessage::SuspectCrashed(report.clone()));
                }
            }
        }
    }

    /// Counts a crash on behalf of all gateways, and tells them when the suspect is to be refused.
    pub fn count_crash(&self, report: &CrashReport) {
        let now = self.clock.mono();
        let is_first = self.counting_gateway(report.suspect).is_none();
        let mut table = self.table();
        if !is_first && table.refusal(report.suspect, now).is_some() {
            return;
        }
        let known = table.crashed_under(report.suspect);
        let refusal = table.note_crash(report, now);
        let is_news = table.crashed_under(report.suspect) != known;
        let current = table.refusal(report.suspect, now);
        let message = current.map(|current| refused_message(&table, current, now));
        drop(table);
        if let Some(message) = message
            && (refusal.is_some() || is_news)
        {
            self.peers.broadcast(&message);
        }
        let Some(refusal) = refusal else {
            if current.is_none() && matches!(report.suspect, CrashSuspect::Request(_)) {
                self.counts.note_changed();
            }
            return;
        };
        let SuspectRefusal { suspect, level, left } = refusal;
        let (event, counter, key) = match suspect {
            CrashSuspect::Request(_) => {
                ("request_crashes_targets", "requests_quarantined", "request")
            }
            CrashSuspect::Part(_) => ("prompt_part_refused", "prompt_parts_refused", "part"),
        };
        let left_ms = left.as_millis();
        self.log.warn(
            event,
            &[
                (key, &fingerprint(suspect.id())),
                ("target", &report.target),
                ("level", &level),
                ("left_ms", &left_ms),
            ],
        );
        self.metrics.count(Counter::Event(counter));
        self.records.note_refused(refusal);
    }

    /// Applies another gateway's refusal, unless this one knows the suspect to be sound.
    pub fn apply_refusal(&self, refusal: SuspectRefusal, age: Duration, crashed_under: &[u64]) {
        let mut table = self.table();
        let is_applied = table.apply_told_refusal(refusal, age, self.clock.mono());
        table.note_crashed_under(refusal.suspect, crashed_under);
        drop(table);
        if !is_applied {
            self.announce_cleared(refusal.suspect);
        }
    }

    /// Ends the refusal of a suspect that another gateway has answered.
    pub fn note_cleared(&self, suspect: CrashSuspect) {
        self.table().note_cleared(suspect, self.clock.mono());
    }

    /// Requests that are refused for good.
    pub fn final_refusals(&self) -> Vec<CrashSuspect> {
        let (table, now) = (self.table(), self.clock.mono());
        let refusals = table.refusals(now);
        let is_final = |refusal: &SuspectRefusal| refusal.is_final(ProbeWork::Request);
        refusals.filter(is_final).map(|refusal| refusal.suspect).collect()
    }

    /// Ends a refusal that an operator has lifted, everywhere.
    pub fn lift_refusal(&self, suspect: CrashSuspect) {
        self.log.info("request_refusal_lifted", &[("request", &fingerprint(suspect.id()))]);
        self.note_cleared(suspect);
        self.announce_cleared(suspect);
    }

    /// Messages that tell a gateway, to which a link has come up, of refused suspects.
    pub fn known_refusals(&self) -> Vec<PeerMessage> {
        let (table, now) = (self.table(), self.clock.mono());
        let mut told: Vec<SuspectRefusal> = table.refusals(now).collect();
        // The others are older, and recorded.
        told.sort_by_cached_key(|refusal| table.refusal_age(refusal.suspect, now));
        told.truncate(MAX_TOLD_REFUSALS);
        told.into_iter().map(|refusal| refused_message(&table, refusal, now)).collect()
    }

    /// Announces that a probe of a request starts, which was claimed.
    fn note_probe_started(&self, refusal: SuspectRefusal) {
        let now = self.clock.mono();
        let mut table = self.table();
        table.note_probe_started(refusal, now);
        let message = refused_message(&table, refusal, now);
        drop(table);
        self.peers.broadcast(&message);
        self.log.info(
            "request_probe_started",
            &[
                ("request", &fingerprint(refusal.suspect.id())),
                ("level", &refusal.level),
                ("left_ms", &refusal.left.as_millis()),
            ],
        );
    }

    /// Answers a gateway that asks to probe a suspect, of which it knows the level, by a request. There is no answer if
    /// another probe is running or none is due.
    pub fn answer_probe_ask(
        &self,
        peer: &VmName,
        (suspect, level): (CrashSuspect, u32),
        request: u64,
    ) {
        let refusal = SuspectRefusal { suspect, level, left: Duration::ZERO };
        let reply = self.table().grant_probe(refusal, request, self.clock.mono());
        let message = match reply {
            ProbeReply::Granted => PeerMessage::SuspectProbeGranted { suspect, request },
            ProbeReply::Sound => PeerMessage::SuspectCleared(suspect),
            ProbeReply::NotNow => return,
        };
        self.peers.send(peer, message);
    }

    /// Lets the request run as a probe of the suspect.
    pub fn note_granted(&self, suspect: CrashSuspect, request: u64) {
        let (event, key) = match suspect {
            CrashSuspect::Request(_) => ("request_probe_granted", "request"),
            CrashSuspect::Part(_) => ("prompt_part_probe_granted", "part"),
        };
        self.log.info(event, &[(key, &fingerprint(suspect.id()))]);
        self.table().note_granted(suspect, request, self.clock.mono());
    }

    fn announce_cleared(&self, suspect: CrashSuspect) {
        let (event, counter, key) = match suspect {
            CrashSuspect::Request(_) => ("request_cleared", "requests_cleared", "request"),
            CrashSuspect::Part(_) => ("prompt_part_cleared", "prompt_parts_cleared", "part"),
        };
        self.log.info(event, &[(key, &fingerprint(suspect.id()))]);
        self.metrics.count(Counter::Event(counter));
        self.peers.broadcast(&PeerMessage::SuspectCleared(suspect));
        self.records.note_cleared(suspect);
    }

    fn ask_probe(&self, suspect: CrashSuspect, request: u64) {
        let now = self.clock.mono();
        let Some(refusal) = self.table().refusal(suspect, now) else { return };
        match self.counting_gateway(suspect) {
            Some(vm) => {
                let level = refusal.level;
                let message = PeerMessage::SuspectProbeAsk { suspect, level, request };
                self.peers.send(&vm, message);
            }
            None => {
                let reply = self.table().grant_probe(refusal, request, now);
                if reply == ProbeReply::Granted {
                    self.note_granted(suspect, request);
                }
            }
        }
    }

    /// The gateway that decides for the suspect; `None` when it is this one.
    fn counting_gateway(&self, suspect: CrashSuspect) -> Option<VmName> {
        let first = self.counting_gateways(suspect).into_iter().next()?;
        (first != *self.own).then_some(first)
    }

    /// The gateways that count for the suspect. The first of them decides.
    fn counting_gateways(&self, suspect: CrashSuspect) -> Vec<VmName> {
        let id = suspect.id().to_be_bytes();
        let weight = |vm: &VmName| stable_hash64(&[&id, vm.as_str().as_bytes()]);
        let mut gateways = self.peers.live_vms();
        gateways.push(self.own.clone());
        gateways.sort_by_cached_key(|vm| Reverse(weight(vm)));
        gateways.truncate(COUNTING_GATEWAYS);
        gateways
    }

    fn log_crash(&self, run: &InterruptedRun<'_>, blamed: &[CrashSuspect]) {
        let blamed: Vec<String> = blamed.iter().map(ToString::to_string).collect();
        let reached = run.reached.map_or(-1, |id| id as i64);
        self.log.info(
            "target_crash_reported",
            &[
                ("target", &run.target()),
                ("request", &fingerprint(run.suspects.request)),
                ("reached", &reached),
                ("blamed", &blamed.join(",")),
            ],
        );
    }
}

/// Claims the probe of a request that is refused for itself, before it starts. False if it may not start. Of a request that is
/// refused only for parts of its prompt nothing is claimed.
pub async fn claim_probe(node: &EntryNode, request: u64, work: ProbeWork) -> bool {
    let suspect = CrashSuspect::Request(request);
    let now = node.clock.mono();
    let (refusal, age) = {
        let edge = node.suspects();
        let mut table = edge.table();
        let Some(refusal) = table.refusal(suspect, now) else { return true };
        if table.take_unspent_claim(request) {
            return true;
        }
        (refusal, table.refusal_age(suspect, now))
    };
    match refusal_records::claim_probe(node, refusal, age, work).await {
        Some(claimed) => {
            node.suspects().note_probe_started(claimed);
            true
        }
        None => {
            let (request, level) = (fingerprint(request), refusal.level);
            node.log.info("request_probe_not_claimed", &[("request", &request), ("level", &level)]);
            false
        }
    }
}

fn refused_message(table: &SuspectTable, refusal: SuspectRefusal, now: MonoTime) -> PeerMessage {
    let SuspectRefusal { suspect, level, left } = refusal;
    PeerMessage::SuspectRefused {
        suspect,
        level,
        left_ms: left.as_millis() as u64,
        age_ms: table.refusal_age(suspect, now).as_millis() as u64,
        crashed_under: table.crashed_under(suspect),
    }
}

/// A fingerprint as logs have it.
pub fn fingerprint(id: u64) -> impl fmt::Display {
    fmt::from_fn(move |f| write!(f, "{id:016x}"))
}
