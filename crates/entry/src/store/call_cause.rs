//! What a call to the store is about and why it is made, for the account of what calls cost.

use notch_platform_wire::store::{CONFIGURATION_KIND, RETIREMENT_KIND, TARGET_KIND, kind_of_path};

use crate::{
    batch::{
        limits::SHARE_KIND,
        records::{END_KIND, JOB_KIND, PART_KIND, RESULT_KIND},
    },
    peers::registration::GATEWAY_KIND,
};

/// Why a call to the store is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreCallCause {
    /// A change of a kind that is followed is waited for.
    Watch,
    /// The whole list of a kind that is followed.
    List,
    /// This gateway makes itself known.
    Registration,
    /// A job is accepted.
    JobStored,
    /// Jobs without an owner are searched for.
    OrphanSearch,
    /// A job is taken over.
    JobTakenOver,
    /// Results are stored.
    ResultsStored,
    /// A client reads a job.
    ResultsRead,
    /// Who owns a job that runs here.
    OwnershipChecked,
    /// All results of a job are stored.
    JobClosed,
    /// A client ends a job.
    EndStored,
    /// Shares of a limit.
    LimitShares,
    /// Old jobs are searched for and deleted.
    Retention,
    /// A VM with a disk was asked to empty it.
    Retirement,
    /// That the configuration in force is the newest one is confirmed.
    ConfigurationConfirmed,
    /// Another gateway asked for the call.
    ForAnother,
}

impl StoreCallCause {
    /// Every cause, in the order of its value.
    pub const ALL: [Self; 16] = [
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
    /// Parts of jobs too large for one object.
    JobPart,
    /// Results of jobs.
    Results,
    /// Ends of jobs.
    JobEnd,
    /// Shares of a limit.
    LimitShares,
    /// None that this process knows.
    Other,
}

impl ObjectKind {
    /// The kind that a call's path names.
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
            Self::Other => "other",
        }
    }
}
