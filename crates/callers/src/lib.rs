//! The protocol of callers and operators: what their HTTP requests mean, the intake of job lines,
//! and the JSON that goes back. No decision is made here, and no connection is held.

pub mod call;
pub mod due;
mod fault;
pub mod intake;
pub mod json;
pub mod refusal;
pub mod sse;
pub mod view;

/// What users of this crate nearly always need.
pub mod prelude {
    pub use crate::{
        call::{
            CallHead, CallRoute,
            body::{CallerRequest, ChatCall, JobCall, PutCall, ServiceCall, read_call},
            options::CallOptions,
        },
        intake::{
            IntakeChunk, IntakeSettings, IntakeSummary, LineIntake,
            fault::{IntakeError, LineFault},
            upload::JobUpload,
        },
        json::json_response,
        refusal::{ErrorView, refusal_response, refusal_status},
        sse::{DONE_MARK, refusal_event},
        view::{
            CatalogueView, ConflictView, EntryView, JobView, accepted_response, answer_response,
            entry_response, job_response, result_line,
        },
    };
}
