//! Calls to the store that are tried until they are answered.

use std::{future::Future, time::Duration};

use async_std::task;

use crate::{constants::STORE_PAUSE, store::reply::StoreFailure};

/// Tries a call until the store answers it; `None` once it isn't needed any more.
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

/// A pause of half of `longest` to all of it, so that VMs that lost the store together don't come
/// back in step.
pub fn jittered(longest: Duration) -> Duration {
    longest.mul_f64(0.5 + 0.5 * rand::random::<f64>())
}
