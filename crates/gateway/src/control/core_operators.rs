//! What the control state answers to operators.

use async_channel::Sender;
use notch_catalogue::CatalogueEvent;
use notch_messages::prelude::*;
use notch_telemetry::prelude::*;
use notch_types::prelude::*;
use serde_json::{Value, json};

use crate::control::{
    core::ControlCore, event::OperatorAsk, operator_desk::with_gateway, step::ControlStep,
};

impl ControlCore {
    /// Takes an operator's question.
    pub(super) fn take_operator(&mut self, now: Now, ask: OperatorAsk, reply: Sender<Value>) {
        match ask {
            OperatorAsk::Status => {
                let _ = reply.try_send(self.status());
            }
            OperatorAsk::Explain(subject) => self.explain(now, &subject, reply),
            OperatorAsk::Survey => {
                let survey = self.operators.survey(now, reply);
                let event = CatalogueEvent::SurveyWanted { survey };
                self.steps.push_back(ControlStep::Catalogue(event));
            }
        }
    }

    fn explain(&mut self, now: Now, subject: &NoteSubject, reply: Sender<Value>) {
        let here: Vec<Value> = self
            .notes_of(now, subject)
            .into_iter()
            .map(|note| with_gateway(note, &self.vm))
            .collect();
        let others = self.links.linked(NodeRole::Gateway);
        let Some(call) = self.operators.explain(now, here, others.len(), reply) else { return };
        for to in others {
            let message = LinkMessage::ExplainAsk { call, subject: subject.clone() };
            self.steps.push_back(ControlStep::ToGateway { to, message });
        }
    }

    /// The notes kept here on a subject, as JSON bytes for another gateway.
    pub(super) fn notes_json(&self, now: Now, subject: &NoteSubject) -> Vec<u8> {
        Value::Array(self.notes_of(now, subject)).to_string().into_bytes()
    }

    /// Notes and present facts; empty where this gateway has neither.
    fn notes_of(&self, now: Now, subject: &NoteSubject) -> Vec<Value> {
        let facts = self.facts(now, subject);
        let notes = self.notes.explain(subject);
        if notes.is_none() && facts.is_empty() {
            return Vec::new();
        }
        let mut page = notes.unwrap_or_else(|| SubjectNotes::default().to_json(subject));
        if let Value::Object(fields) = &mut page {
            fields.insert("now".to_owned(), json!(facts));
        }
        vec![page]
    }

    fn status(&self) -> Value {
        let members: Vec<Value> = self
            .members
            .members()
            .iter()
            .map(|member| {
                json!({
                    "vm": member.vm.as_str(),
                    "domain": member.domain.as_str(),
                    "address": member.address,
                    "state": format!("{:?}", member.state).to_lowercase(),
                })
            })
            .collect();
        let domains: Vec<Value> = self
            .members
            .domains()
            .iter()
            .map(|domain| {
                json!({
                    "domain": domain.domain.as_str(),
                    "live": domain.live,
                    "dead": domain.dead,
                    "down": domain.down,
                })
            })
            .collect();
        let sidecars: Vec<Value> =
            self.links.linked(NodeRole::Sidecar).iter().map(|vm| self.sidecar_line(vm)).collect();
        json!({
            "gateway": self.vm.as_str(),
            "leaving": self.leaving.is_some(),
            "store_up": self.metrics.value(Gauge::StoreUp) == 1,
            "catalogue_ready": self.catalogue.is_ready(),
            "entries_in_force": self.catalogue.table().len(),
            "gateways": members,
            "domains": domains,
            "sidecars": sidecars,
            "shards": self.shard_lines(),
            "callers_waiting": self.online.waiting(),
            "open_items": self.shards.directory().open_items(),
        })
    }

    fn sidecar_line(&self, vm: &VmName) -> Value {
        let loads: Vec<Value> = self
            .operators
            .load_of(vm)
            .iter()
            .map(|load| {
                json!({
                    "target": load.target.as_str(),
                    "up": load.up,
                    "online_running": load.online_running,
                    "online_waiting": load.online_waiting,
                    "batch_running": load.batch_running,
                    "limit": load.limit,
                })
            })
            .collect();
        json!({ "vm": vm.as_str(), "draining": self.drained.contains(vm), "targets": loads })
    }

    fn shard_lines(&self) -> Vec<Value> {
        let directory = self.shards.directory();
        self.shards
            .hosts()
            .iter()
            .map(|host| {
                let shard = host.shard();
                json!({
                    "shard": shard.0,
                    "owner": directory.owner(shard).map(|vm| vm.as_str().to_owned()),
                    "epoch": directory.epoch(shard).0,
                    "here": host.epoch().is_some(),
                })
            })
            .collect()
    }
}
