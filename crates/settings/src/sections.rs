//! One struct a section, each with its defaults.

mod accounts;
mod admission;
mod connections;
mod entry_listen;
mod fleet;
mod jobs;
mod ledger;
mod limits;
mod links;
mod listen;
mod logging;
mod membership;
mod memory;
mod node;
mod online;
mod operators;
mod placement;
mod platform;
mod relay;
mod stop;
mod store;
mod target;

pub use self::{
    accounts::AccountSettings,
    admission::AdmissionSettings,
    connections::ConnectionSettings,
    entry_listen::EntryListenSettings,
    fleet::{FeatureSwitch, FleetSettings},
    jobs::JobSettings,
    ledger::LedgerSettings,
    limits::LimitSettings,
    links::LinkSettings,
    listen::ListenSettings,
    logging::{LogFormat, LogLevel, LoggingSettings},
    membership::MembershipSettings,
    memory::MemorySettings,
    node::NodeSettings,
    online::OnlineSettings,
    operators::OperatorSettings,
    placement::PlacementSettings,
    platform::PlatformSettings,
    relay::RelaySettings,
    stop::{MIN_STOP_GRACE, StopSettings},
    store::StoreSettings,
    target::TargetSettings,
};
