//! Failures of an item, as told to other gateways and recorded in the store.

use serde::{Deserialize, Serialize};

use super::failed_runs::FailedRuns;

/// Failures of an item that its targets reported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemFailures {
    /// Id of the item.
    pub item: String,
    /// The runs that failed.
    #[serde(flatten)]
    pub failed: FailedRuns,
}

impl ItemFailures {
    /// Joins `told` into a list with one entry for each item. Returns whether anything of it is new.
    pub fn join_into(list: &mut Vec<Self>, told: &[Self]) -> bool {
        let mut has_news = false;
        for new in told {
            match list.iter_mut().find(|known| known.item == new.item) {
                Some(known) => has_news |= known.failed.join(&new.failed),
                None => {
                    list.push(new.clone());
                    has_news = true;
                }
            }
        }
        has_news
    }
}
