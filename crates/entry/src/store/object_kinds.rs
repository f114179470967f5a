//! Kinds of objects in the store that belong to jobs, limits, versions, failures and refusals.

/// Kind of jobs. Each object is named after the job's id.
pub const JOB_KIND: &str = "notch-jobs";
/// Kind of the parts of jobs that are too large for one object.
pub const PART_KIND: &str = "notch-job-parts";
/// Kind of results.
pub const RESULT_KIND: &str = "notch-results";
/// Kind of the parts of results that are too large for one object.
pub const RESULT_PART_KIND: &str = "notch-result-parts";
/// Kind of ends of jobs. Each object is named after its job.
pub const END_KIND: &str = "notch-job-ends";
/// Kind of the objects that hold the shares of a limit. Each object is named after its route.
pub const SHARE_KIND: &str = "notch-limit-shares";
/// Kind of the records of items that failed. Each object is named after its job.
pub const FAILURE_KIND: &str = "notch-item-failures";
/// Kind of the records of software versions. Each object is named after its service.
pub const VERSION_KIND: &str = "notch-versions";
/// Kind of the records of requests that are refused because they crash targets. Each object is named after the
/// request's fingerprint.
pub const REFUSAL_KIND: &str = "notch-refusals";
