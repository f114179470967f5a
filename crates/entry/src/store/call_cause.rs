//! What a call to the store is about and why it is made, to attribute the cost of calls.

use notch_platform_wire::store::{CONFIGURATION_KIND, RETIREMENT_KIND, TARGET_KIND, kind_of_path};

use crate::{
    peers::registration::GATEWAY_KIND,
    store::object_kinds::{
        END_KIND, FAILURE_KIND, JOB_KIND, PART_KIND, REFUSAL_KIND, RESULT_KIND, SHARE_KIND,
        VERSION_KIND,
    },
};

/// Why a call to the store is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallCause {
    /// Waiting for changes of a followed kind.
    Watch,
    /// Listing a followed kind.
    List,
    /// Registering this gateway.
    Registration,
    /// Accepting a job.
    JobStored,
    /// Searching for jobs without a live owner.
    OrphanSearch,
    /// Taking a job over.
    JobTakenOver,
    /// Storing results.
    ResultsStored,
    /// Reading a job for a client.
    ResultsRead,
    /// Checking who owns a job that runs here.
    OwnershipChecked,
    /// Closing a job whose results are all stored.
    JobClosed,
    /// Ending a job for a client.
    EndStored,
    /// Reading or writing the shares of a limit.
    LimitShares,
    /// Searching for old jobs and deleting them.
    Retention,
    /// Answering a request to empty a VM with a disk.
    Retirement,
    /// Confirming that the configuration in force is the newest one.
    ConfigurationConfirmed,
    /// Deleting the entry of a gateway that was removed for good.
    Eviction,
    /// Checking that this gateway was not evicted.
    OwnEntryChecked,
    /// Confirming that every target is known.
    TargetsConfirmed,
    /// Recording which software versions targets have, or reading the record.
    VersionsRecorded,
    /// Recording failures of items, or reading the record.
    FailuresRecorded,
    /// Recording requests that are refused, or reading the records.
    Refusals,
    /// Forwarding a call for another gateway.
    ForAnother,
}

impl StoreCallCause {
    /// Every cause, in the order of its value.
    pub const ALL: [Self; 22] = [
        Self::Watch,
        Self::List,
        Self::Registration,
        Self::JobStored,
        Self::OrphanSearch,
        Self::JobTakenOver,
        Self::ResultsStored,
        Self::ResultsRead,
        Self::OwnershipChecked,
        Self::JobClosed,
        Self::EndStored,
        Self::LimitShares,
        Self::Retention,
        Self::Retirement,
        Self::ConfigurationConfirmed,
        Self::Eviction,
        Self::OwnEntryChecked,
        Self::TargetsConfirmed,
        Self::VersionsRecorded,
        Self::FailuresRecorded,
        Self::Refusals,
        Self::ForAnother,
    ];

    /// Stable name for metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::List => "list",
            Self::Registration => "registration",
            Self::JobStored => "job_stored",
            Self::OrphanSearch => "orphan_search",
            Self::JobTakenOver => "job_taken_over",
            Self::ResultsStored => "results_stored",
            Self::ResultsRead => "results_read",
            Self::OwnershipChecked => "ownership_checked",
            Self::JobClosed => "job_closed",
            Self::EndStored => "end_stored",
            Self::LimitShares => "limit_shares",
            Self::Retention => "retention",
            Self::Retirement => "retirement",
            Self::ConfigurationConfirmed => "configuration_confirmed",
            Self::Eviction => "eviction",
            Self::OwnEntryChecked => "own_entry_checked",
            Self::TargetsConfirmed => "targets_confirmed",
            Self::VersionsRecorded => "versions_recorded",
            Self::FailuresRecorded => "failures_recorded",
            Self::Refusals => "refusals",
            Self::ForAnother => "for_another",
        }
    }
}

/// Kinds of objects in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ObjectKind {
    /// The operators' configuration.
    Configuration,
    /// Entries of targets.
    Target,
    /// Requests to empty a VM with a disk.
    Retirement,
    /// Entries of gateways.
    Gateway,
    /// Jobs.
    Job,
    /// Parts of jobs that are too large for one object.
    JobPart,
    /// Results of jobs.
    Results,
    /// Ends of jobs.
    JobEnd,
    /// Shares of a limit.
    LimitShares,
    /// Records of software versions.
    Versions,
    /// Records of failures of items.
    Failures,
    /// Records of refused requests.
    Refusals,
    /// Any other kind.
    Other,
}

impl ObjectKind {
    /// The kind in a call's path.
    pub fn of_path(path: &str) -> Self {
        match kind_of_path(path) {
            CONFIGURATION_KIND => Self::Configuration,
            TARGET_KIND => Self::Target,
            RETIREMENT_KIND => Self::Retirement,
            GATEWAY_KIND => Self::Gateway,
            JOB_KIND => Self::Job,
            PART_KIND => Self::JobPart,
            RESULT_KIND => Self::Results,
            END_KIND => Self::JobEnd,
            SHARE_KIND => Self::LimitShares,
            VERSION_KIND => Self::Versions,
            FAILURE_KIND => Self::Failures,
            REFUSAL_KIND => Self::Refusals,
            _ => Self::Other,
        }
    }

    /// Stable name for metrics.
    pub fn code(self) -> &'static str {
        match self {
            Self::Configuration => "configuration",
            Self::Target => "target",
            Self::Retirement => "retirement",
            Self::Gateway => "gateway",
            Self::Job => "job",
            Self::JobPart => "job_part",
            Self::Results => "results",
            Self::JobEnd => "job_end",
            Self::LimitShares => "limit_shares",
            Self::Versions => "versions",
            Self::Failures => "item_failures",
            Self::Refusals => "refusals",
            Self::Other => "other",
        }
    }
}
