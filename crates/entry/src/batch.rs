//! Batch jobs: accepting, running, reading and ending them, and taking over those of failed
//! gateways.

pub mod adoption;
pub mod bodies;
pub mod closing;
pub mod commits;
pub mod deadline_admission;
pub mod ends;
pub mod failure_records;
pub mod failures;
pub mod intake;
pub mod item_run;
pub mod item_slots;
pub mod job_cache;
pub mod job_registry;
pub mod kept_failures;
pub mod limit_registry;
pub mod limits;
pub mod ownership;
pub mod prior_submission;
pub mod read_latency;
pub mod reads;
pub mod records;
pub mod result_objects;
pub mod retention;
pub mod runner;
pub mod share_reclaim;
pub mod stored_jobs;
pub mod takeover;
