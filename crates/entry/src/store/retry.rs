//! Retries of calls to the store.

use std::{future::Future, time::Duration};

use async_std::task;

use crate::{constants::STORE_PAUSE, store::reply::StoreFailure};

/// How a call ended that was retried until the store answered it.
#[derive(Debug)]
pub enum RetryEnd<T> {
    /// The store answered it.
    Answered(T),
    /// The store refuses it for good. To send it again unchanged would be of no use.
    Refused,
    /// It is not needed any more.
    NotNeeded,
}

/// Retries a call until the store answers it or refuses it for good, as long as `is_needed`.
pub async fn until_settled<T, F>(
    is_needed: impl Fn() -> bool,
    mut call: impl FnMut() -> F,
) -> RetryEnd<T>
where
    F: Future<Output = Result<T, StoreFailure>>,
{
    while is_needed() {
        match call().await {
            Ok(answer) => return RetryEnd::Answered(answer),
            Err(StoreFailure::Refused) => return RetryEnd::Refused,
            Err(StoreFailure::NotDone | StoreFailure::Unknown) => {
                task::sleep(jittered(STORE_PAUSE)).await;
            }
        }
    }
    RetryEnd::NotNeeded
}

/// The same for a call whose refusal needs no handling. Returns `None` unless the store answered it.
pub async fn until_answered<T, F>(
    is_needed: impl Fn() -> bool,
    call: impl FnMut() -> F,
) -> Option<T>
where
    F: Future<Output = Result<T, StoreFailure>>,
{
    match until_settled(is_needed, call).await {
        RetryEnd::Answered(answer) => Some(answer),
        RetryEnd::Refused | RetryEnd::NotNeeded => None,
    }
}

/// A random pause between half of `longest` and all of it, so that VMs that lost the store together
/// do not retry in step.
pub fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
