//! Decisions of an entry VM that relays requests straight to targets: which route, which target,
//! what a failure means, how streams are cut into events, which jobs are accepted, what becomes of a
//! job's items, who asks and how much each account may send, and how gateways keep a limit together.
//! Nothing here does I/O or reads a clock.

pub mod accounts;
mod ewma;
pub mod intake;
pub mod jobs;
pub mod limits;
pub mod routes;
pub mod stream;
pub mod targets;

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        accounts::{
            account::{AccountEntry, AccountLimit, ClientAccount},
            bucket::CreditBucket,
            credits::{CreditCache, CreditStep},
            freshness::{ConfigurationAge, ConfigurationProof},
            key::AccountKey,
            limiter::{CreditAnswer, CreditHandover, LimiterTable},
            quota::QuotaTolerance,
            table::{AccountTable, CallerIdentity, may_access},
            view::{LimiterView, PeerCounts},
        },
        intake::{
            demand::{DueWork, WorkDemand},
            forecast::JobAdmissionForecast,
            table::JobAdmissionTable,
        },
        jobs::{
            board::{ItemStart, JobTable},
            doubt::OwnershipGeneration,
            owned::{HeldProgress, ItemEnd, OwnedJob},
            pace::{ItemRunTime, ItemRunTimeStats},
            result::{ItemState, ResultLine},
            spec::{AnswerSize, ItemSpec, JobSpec, JobTerms, limit_name},
        },
        limits::{
            count::{LimitCount, LimitCountThrottle},
            drain::DrainRate,
            holder::{ShareAvailability, ShareHolder, ShareProposal, ShareStep},
            table::{HolderShare, ShareTable},
            waiting_limit::WaitingLimit,
        },
        routes::{
            configuration::{ClientLimits, Configuration},
            dropped::DroppedRoutes,
            route::{Route, RouteKind, WeightedService},
            table::RouteTable,
        },
        stream::{
            event::{EventFault, StreamEvent},
            splitter::EventSplitter,
        },
        targets::{
            choice::{QueueLimit, TargetChoice, TargetQuery, WorkKind},
            crashes::CrashTable,
            entry::{TargetEntry, TargetState},
            failure::{AttemptFailure, RunVerdict},
            grants::{PreemptedItem, QueueOffer, SlotGrant},
            latency::ServiceLatency,
            prompt::{PromptPrefix, PromptPrefixes},
            record::{TargetUse, UseChange},
            retry_detector::RetryDetector,
            slot_search::{SearchStep, SlotSearch},
            table::TargetTable,
        },
    };
}
