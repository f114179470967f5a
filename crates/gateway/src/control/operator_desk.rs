//! Operators' questions that need other gateways' answers.

use std::{collections::BTreeMap, time::Duration};

use async_channel::Sender;
use notch_catalogue::{SurveyReport, key};
use notch_messages::prelude::*;
use notch_types::prelude::*;
use serde_json::{Value, json};

/// How long an `explain` waits for the other gateways.
const EXPLAIN_WAIT: Duration = Duration::from_millis(700);
/// How long a survey may take before its asker is told so.
const SURVEY_WAIT: Duration = Duration::from_secs(5);
/// Sidecars whose load is kept; far more than are linked to one gateway.
const MAX_LOADS: usize = 4_096;
/// Questions open at once; more are answered at once with what is known here.
const MAX_OPEN: usize = 256;

#[derive(Debug)]
struct OpenExplain {
    notes: Vec<Value>,
    awaited: usize,
    until: MonoTime,
    reply: Sender<Value>,
}

#[derive(Debug)]
struct OpenSurvey {
    until: MonoTime,
    reply: Sender<Value>,
}

/// Questions waiting for answers, and what sidecars last said of their load. Bounds: `MAX_OPEN`
/// questions of each kind, each with a time limit; `MAX_LOADS` sidecars, each while it is linked.
#[derive(Debug, Default)]
pub struct OperatorDesk {
    next: u64,
    explains: BTreeMap<CallId, OpenExplain>,
    surveys: BTreeMap<u64, OpenSurvey>,
    loads: BTreeMap<VmName, Vec<TargetLoad>>,
}

impl OperatorDesk {
    /// Keeps what a sidecar says of its load.
    pub fn load_seen(&mut self, vm: &VmName, loads: &[TargetLoad]) {
        if let Some(known) = self.loads.get_mut(vm) {
            known.clear();
            known.extend_from_slice(loads);
        } else if self.loads.len() < MAX_LOADS {
            self.loads.insert(vm.clone(), loads.to_vec());
        }
    }

    /// Forgets a sidecar's load: it is linked no more.
    pub fn load_gone(&mut self, vm: &VmName) {
        self.loads.remove(vm);
    }

    /// What a sidecar last said of its targets.
    pub fn load_of(&self, vm: &VmName) -> &[TargetLoad] {
        self.loads.get(vm).map_or(&[], Vec::as_slice)
    }

    /// What sidecars last said of one target.
    pub fn loads_of(&self, target: &TargetName) -> impl Iterator<Item = (&VmName, &TargetLoad)> {
        let all =
            self.loads.iter().flat_map(|(vm, loads)| loads.iter().map(move |load| (vm, load)));
        all.filter(move |(_, load)| load.target == *target)
    }

    /// When time alone changes something.
    pub fn next_wake(&self) -> Option<MonoTime> {
        let explains = self.explains.values().map(|open| open.until);
        explains.chain(self.surveys.values().map(|open| open.until)).min()
    }

    /// Answers what has waited long enough.
    pub fn tick(&mut self, now: Now) {
        let late: Vec<CallId> = self
            .explains
            .iter()
            .filter(|(_, open)| open.until <= now.mono)
            .map(|(call, _)| *call)
            .collect();
        for call in late {
            self.finish_explain(call);
        }
        self.surveys.retain(|_, open| {
            let waits = open.until > now.mono;
            if !waits {
                let _ = open.reply.try_send(json!({ "error": "the survey got no answer" }));
            }
            waits
        });
    }

    /// Opens an `explain` with what is known here; returns the call to ask `others` with.
    pub fn explain(
        &mut self,
        now: Now,
        here: Vec<Value>,
        others: usize,
        reply: Sender<Value>,
    ) -> Option<CallId> {
        if others == 0 || self.explains.len() >= MAX_OPEN {
            let _ = reply.try_send(Value::Array(here));
            return None;
        }
        self.next += 1;
        let call = CallId(self.next);
        let until = now.mono + EXPLAIN_WAIT;
        let open = OpenExplain { notes: here, awaited: others, until, reply };
        self.explains.insert(call, open);
        Some(call)
    }

    /// Takes another gateway's notes.
    pub fn explained(&mut self, from: &VmName, call: CallId, notes: &[u8]) {
        let Some(open) = self.explains.get_mut(&call) else { return };
        if let Ok(Value::Array(notes)) = serde_json::from_slice(notes) {
            open.notes.extend(notes.into_iter().map(|note| with_gateway(note, from)));
        }
        open.awaited -= 1;
        if open.awaited == 0 {
            self.finish_explain(call);
        }
    }

    /// Opens a survey; returns its number.
    pub fn survey(&mut self, now: Now, reply: Sender<Value>) -> u64 {
        self.next += 1;
        let open = OpenSurvey { until: now.mono + SURVEY_WAIT, reply };
        self.surveys.insert(self.next, open);
        self.next
    }

    /// Answers a survey.
    pub fn surveyed(&mut self, survey: u64, report: &SurveyReport) {
        if let Some(open) = self.surveys.remove(&survey) {
            let _ = open.reply.try_send(survey_json(report));
        }
    }

    fn finish_explain(&mut self, call: CallId) {
        if let Some(open) = self.explains.remove(&call) {
            let _ = open.reply.try_send(Value::Array(open.notes));
        }
    }
}

/// A note's JSON with the gateway that keeps it.
pub fn with_gateway(mut note: Value, gateway: &VmName) -> Value {
    if let Value::Object(fields) = &mut note {
        fields.insert("gateway".to_owned(), json!(gateway.as_str()));
    }
    note
}

fn survey_json(report: &SurveyReport) -> Value {
    let names = |vms: &[VmName]| vms.iter().map(|vm| json!(vm.as_str())).collect::<Vec<_>>();
    let entries: Vec<Value> = report
        .entries
        .iter()
        .map(|(entry, count)| {
            json!({
                "kind": key::kind_name(entry.kind),
                "name": entry.name,
                "version": count.version.0,
                "gateways": count.gateways,
            })
        })
        .collect();
    json!({
        "gateways": report.gateways,
        "answered": report.answered,
        "unclear": names(&report.unclear),
        "silent": names(&report.silent),
        "refusing": names(&report.refusing),
        "sidecars": report.sidecars,
        "sidecars_current": report.sidecars_current,
        "entries": entries,
    })
}
