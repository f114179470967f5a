//! Retries of calls to the store.

use std::{future::Future, time::Duration};

use async_std::task;

use crate::{constants::STORE_PAUSE, store::reply::StoreFailure};

/// Retries a call until the store answers it. Returns `None` once `is_needed` returns false.
pub async fn until_answered<T, F>(
    is_needed: impl Fn() -> bool,
    mut call: impl FnMut() -> F,
) -> Option<T>
where
    F: Future<Output = Result<T, StoreFailure>>,
{
    while is_needed() {
        match call().await {
            Ok(answer) => return Some(answer),
            Err(_) => task::sleep(jittered(STORE_PAUSE)).await,
        }
    }
    None
}

/// A random pause between half of `longest` and all of it, so that VMs that lost the store together
/// do not retry in step.
pub fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
