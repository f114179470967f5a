//! Log of one node. Several nodes may share a process and its logger.

use std::fmt::Display;

use log::{
    Level, Record,
    kv::{self, Key, Source, ToValue, Value, VisitSource},
};
use notch_types::prelude::*;

/// Log target of every line, for filters.
const LOG_TARGET: &str = "notch";

/// Writes log lines with the node's VM and failure domain, from any thread.
#[derive(Debug, Clone)]
pub struct NodeLog {
    vm: VmName,
    domain: DomainName,
}

/// Key-value pairs of one line, borrowed.
struct LinePairs<'a> {
    node: &'a NodeLog,
    event: &'static str,
    fields: &'a [(&'static str, &'a dyn Display)],
}

impl NodeLog {
    /// Creates the log of the node on `vm`.
    pub fn new(vm: &VmName, domain: &DomainName) -> Self {
        Self { vm: vm.clone(), domain: domain.clone() }
    }

    /// Logs an error. `event` is a stable snake_case name.
    pub fn error(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Error, event, fields);
    }

    /// Logs a condition that may lead to an error.
    pub fn warn(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Warn, event, fields);
    }

    /// Logs a state change.
    pub fn info(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Info, event, fields);
    }

    /// Logs a decision, for debugging.
    pub fn debug(&self, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        self.write(Level::Debug, event, fields);
    }

    /// Logs one step of a decision as it is recorded for `explain`, for debugging.
    pub fn decision(&self, note: &DecisionNote) {
        let step = &note.step;
        let vm = step.vm.as_ref().map_or("-", VmName::as_str);
        self.debug(
            step.code,
            &[
                ("subject", &note.subject),
                ("at", &vm),
                ("reason", &step.reason.unwrap_or("-")),
                ("detail", &step.detail),
            ],
        );
    }

    fn write(&self, level: Level, event: &'static str, fields: &[(&'static str, &dyn Display)]) {
        if level > log::max_level() {
            return;
        }
        let pairs = LinePairs { node: self, event, fields };
        let record = Record::builder()
            .level(level)
            .target(LOG_TARGET)
            .args(format_args!(""))
            .key_values(&pairs)
            .build();
        log::logger().log(&record);
    }
}

impl Source for LinePairs<'_> {
    fn visit<'kvs>(&'kvs self, visitor: &mut dyn VisitSource<'kvs>) -> Result<(), kv::Error> {
        visitor.visit_pair(Key::from("vm"), self.node.vm.as_str().to_value())?;
        visitor.visit_pair(Key::from("domain"), self.node.domain.as_str().to_value())?;
        visitor.visit_pair(Key::from("event"), self.event.to_value())?;
        for (key, value) in self.fields {
            visitor.visit_pair(Key::from(*key), Value::from_dyn_display(value))?;
        }
        Ok(())
    }
}
