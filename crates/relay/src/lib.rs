//! Decision logic of an entry VM that relays requests directly to targets: routing, target
//! selection, sharing of slots among accounts, failure classification, splitting of streams into
//! events, job admission and scheduling, client accounts and their rate limits, limits shared by all
//! gateways, and the memory held for slow readers.
//!
//! The crate performs no I/O and reads no clock.

pub mod accounts;
pub mod connections;
mod ewma;
pub mod fairness;
pub mod follower_start;
pub mod item_slots;
pub mod job_admission;
pub mod jobs;
pub mod limits;
pub mod memory;
pub mod routes;
pub mod stop_schedule;
pub mod stream;
pub mod targets;
pub mod watch_pace;

/// Types that nearly all users of this crate need.
pub mod prelude {
    pub use crate::{
        accounts::{
            account::{AccountEntry, AccountLimit, ClientAccount},
            bucket::CreditBucket,
            credits::{CreditCache, CreditStep},
            demand::CreditDemand,
            freshness::{ConfigurationAge, ConfigurationProof},
            key::AccountKey,
            limiter::{CreditAnswer, CreditHandover, LimiterTable},
            quota::QuotaTolerance,
            retry_spread::retry_delay,
            table::{AccountTable, CallerIdentity, may_access},
            view::{LimiterView, PeerCounts},
        },
        connections::{ConnectionGate, ConnectionGateSettings},
        fairness::{
            FairShareTable,
            key::share_key,
            share_use::ShareUse,
            verdict::{FairSlots, FairVerdict},
            weight::share_weight,
        },
        follower_start::{expectation_span, expected_followers, takeover_delay},
        item_slots::{
            FreeSlots, ItemSlotTable, ReceivedOffer, SlotShare,
            division::DivisibleSlots,
            preemption::PreemptionRank,
            waiting::{WaitingItems, WaitingReport},
        },
        job_admission::{
            demand::{DueWork, WorkDemand},
            forecast::JobAdmissionForecast,
            table::JobAdmissionTable,
        },
        jobs::{
            contact::{OwnContact, RELINK_TIMEOUT},
            eviction::{
                AbsenceVote, EvictionCandidate, EvictionOutcome, EvictionVerdict, FleetView,
                GatewayEviction, OwnEntryGuard, PeerAbsence,
            },
            failed_runs::{FailedRun, FailedRuns},
            held_progress::HeldProgress,
            item_end::ItemEnd,
            item_failures::ItemFailures,
            json_size::{json_document_bytes, json_string_bytes, split_json_string},
            owned::OwnedJob,
            ownership::OwnershipGeneration,
            pending_write::PendingWrite,
            result::{ItemState, ResultLine},
            run_time::{ItemRunTime, ItemRunTimeStats},
            search::SearchSchedule,
            spec::{AnswerSize, ItemSpec, JobSpec, JobTerms, limit_name},
            table::{ItemStart, JobTable, WaitingItem},
        },
        limits::{
            count::{LimitCount, LimitCountThrottle},
            drain::DrainRate,
            holder::{ShareAvailability, ShareHolder, ShareProposal, ShareStep},
            table::{HolderShare, ShareTable},
            waiting_limit::WaitingLimit,
        },
        memory::budget::{MemoryBudget, MemoryUse},
        routes::{
            absence::{MissingRoutes, RouteState},
            configuration::{ClientLimits, Configuration},
            dropped::DroppedRoutes,
            route::{Route, RouteKind, WeightedService},
            table::RouteTable,
        },
        stop_schedule::StopSchedule,
        stream::{
            event::{EventFault, StreamEvent},
            origin::{StreamOrigin, StreamOrigins},
            splitter::EventSplitter,
        },
        targets::{
            choice::{QueueLimit, TargetChoice, TargetQuery, WorkKind},
            entry::{TargetEntry, TargetState},
            failure::{AttemptFailure, RunVerdict},
            first_byte::first_byte_timeout,
            grants::{PreemptedItem, QueueOffer, SlotGrant},
            idle_reuse::IdleReuse,
            latency::ServiceLatency,
            performance::{
                AttemptReport, TargetOutcome,
                attempt::{AttemptResult, AttemptStage},
                ejection::TargetEjection,
                failed_requests::FailedRequests,
                failure_window::{FailureWindow, OutcomeCounts},
                pace::PaceMeter,
            },
            prompt::{PromptPrefix, PromptPrefixes},
            record::{TargetUse, UseChange},
            report_interval::report_interval,
            retry_detector::RetryDetector,
            slot_search::{SearchStep, SlotSearch},
            suspects::{
                refusal::{ProbeReply, ProbeWork, SuspectRefusal},
                suspect::{CrashReport, CrashSuspect, RequestCrashes, RequestSuspects},
                table::{AnswerFindings, MAX_REFUSED_REQUESTS, SuspectAdmission, SuspectTable},
            },
            table::{TargetTable, ejections::EjectionNotice},
            version_history::{VersionHistory, VersionView},
        },
        watch_pace::WatchPace,
    };
}
