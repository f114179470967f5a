//! Notes that record each decision, so that `explain` can show what happened and why.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{JobId, RequestId, TargetName, VmName};

/// What a note is about.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum NoteSubject {
    /// A caller's request.
    Request(RequestId),
    /// A job.
    Job(JobId),
    /// A target, by catalogue name.
    Target(TargetName),
    /// A VM.
    Vm(VmName),
}

impl fmt::Display for NoteSubject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(request) => write!(f, "request {request}"),
            Self::Job(job) => write!(f, "job {job}"),
            Self::Target(target) => write!(f, "target {target}"),
            Self::Vm(vm) => write!(f, "vm {vm}"),
        }
    }
}

/// One step of a decision. `code` is stable; the other fields are for people to read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct NoteStep {
    /// Stable snake_case name of the step: `routed`, `retried`, `refused`, `preempted`, ….
    pub code: &'static str,
    /// The VM concerned, when there is one.
    pub vm: Option<VmName>,
    /// The reason's stable code, when there is one.
    pub reason: Option<&'static str>,
    /// One short sentence with the values that the decision was based on.
    pub detail: String,
}

/// A note about one step of a decision. The caller that records it adds the time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DecisionNote {
    /// What the decision concerns.
    pub subject: NoteSubject,
    /// The step that was decided.
    pub step: NoteStep,
}

impl DecisionNote {
    /// Creates a note without VM or reason.
    pub fn new(subject: NoteSubject, code: &'static str, detail: String) -> Self {
        Self { subject, step: NoteStep { code, vm: None, reason: None, detail } }
    }

    /// Sets the VM concerned.
    pub fn with_vm(mut self, vm: &VmName) -> Self {
        self.step.vm = Some(vm.clone());
        self
    }

    /// Sets the reason's stable code.
    pub fn with_reason(mut self, reason: &'static str) -> Self {
        self.step.reason = Some(reason);
        self
    }
}
