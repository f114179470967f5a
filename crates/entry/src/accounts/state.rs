//! What a gateway knows of client accounts.

use std::sync::{Mutex, MutexGuard, PoisonError};

use notch_relay::prelude::*;
use notch_settings::prelude::AccountSettings;
use notch_types::prelude::*;

/// What a gateway knows of client accounts. Each lock is held for moments, and no two at once.
#[derive(Debug, Default)]
pub struct AccountState {
    age: Mutex<ConfigurationAge>,
    limiter: Mutex<LimiterTable>,
    credits: Mutex<CreditCache>,
    tolerance: QuotaTolerance,
}

impl AccountState {
    /// Nothing is known yet.
    pub fn new(settings: &AccountSettings) -> Self {
        let tolerance = QuotaTolerance {
            window: settings.quota_window(),
            overrun: settings.quota_overrun,
            slack: settings.quota_slack,
        };
        let age = Mutex::new(ConfigurationAge::new(settings.revocation_bound()));
        let limiter = Mutex::new(LimiterTable::new(tolerance));
        Self { age, limiter, tolerance, ..Self::default() }
    }

    /// How old the knowledge of the configuration is.
    pub fn age(&self) -> MutexGuard<'_, ConfigurationAge> {
        self.age.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The limiters run here, and who runs the others.
    pub fn limiter(&self) -> MutexGuard<'_, LimiterTable> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What may be admitted here.
    pub fn credits(&self) -> MutexGuard<'_, CreditCache> {
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
