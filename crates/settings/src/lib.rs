//! Settings of the daemons, read from INI. Every fault of a file is found and told at once, with
//! section, key and line; values are plain (std types and names), so that any crate can use them.

pub mod check;
pub mod config;
pub mod entry_config;
pub mod error;
pub mod file;
pub mod sections;

pub use crate::{
    config::{GatewayConfig, SidecarConfig},
    entry_config::{DiskConfig, EntryConfig},
    error::{SettingsError, SettingsErrors, SettingsProblem},
    file::SettingsFile,
};

/// The types nearly every user of this crate needs.
pub mod prelude {
    pub use crate::{
        config::{GatewayConfig, SidecarConfig},
        entry_config::{DiskConfig, EntryConfig},
        error::{SettingsError, SettingsErrors, SettingsProblem},
        file::SettingsFile,
        sections::{
            AccountSettings, AdmissionSettings, EntryListenSettings, FeatureSwitch, FleetSettings,
            JobSettings, LedgerSettings, LimitSettings, LinkSettings, ListenSettings, LogFormat,
            LogLevel, LoggingSettings, MIN_STOP_GRACE, MembershipSettings, NodeSettings,
            OnlineSettings, OperatorSettings, PlacementSettings, PlatformSettings, RelaySettings,
            StopSettings, StoreSettings, TargetSettings,
        },
    };
}
