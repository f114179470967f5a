//! What a gateway holds of client accounts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use notch_relay::prelude::*;
use notch_settings::prelude::AccountSettings;
use notch_types::prelude::*;

/// What a gateway holds of client accounts. Each lock is held for moments, and no two at once.
#[derive(Debug, Default)]
pub struct AccountDesk {
    age: Mutex<ConfigurationAge>,
    keeper: Mutex<LimitKeeper>,
    credits: Mutex<CreditBook>,
    tolerance: QuotaTolerance,
}

impl AccountDesk {
    /// A desk that knows nothing yet.
    pub fn new(settings: &AccountSettings) -> Self {
        let tolerance = QuotaTolerance {
            window: settings.quota_window(),
            overrun: settings.quota_overrun,
            slack: settings.quota_slack,
        };
        let age = Mutex::new(ConfigurationAge::new(settings.revocation_bound()));
        let keeper = Mutex::new(LimitKeeper::new(tolerance));
        Self { age, keeper, tolerance, ..Self::default() }
    }

    /// How old the knowledge of the configuration is.
    pub fn age(&self) -> MutexGuard<'_, ConfigurationAge> {
        self.age.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limits kept here, and who keeps the others.
    pub fn keeper(&self) -> MutexGuard<'_, LimitKeeper> {
        self.keeper.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What may be admitted here.
    pub fn credits(&self) -> MutexGuard<'_, CreditBook> {
        self.credits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// By how much limits may be exceeded.
    pub fn tolerance(&self) -> QuotaTolerance {
        self.tolerance
    }

    /// Requests that were admitted and didn't run.
    pub fn give_back(&self, account: &AccountName, now: MonoTime) {
        self.credits().give_back(account, now);
    }
}
