//! All answers on their way, by attempt.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use notch_types::prelude::*;

use crate::traffic::answer_page::AnswerPage;

/// Stripes of the book: links and callers on many threads rarely meet on one lock.
const STRIPES: usize = 64;

type PageMap = FastMap<AttemptId, Arc<AnswerPage>>;

/// All answers on their way. Bound: one page for each attempt that the router has not forgotten.
#[derive(Debug)]
pub struct AnswerBook {
    stripes: Vec<Mutex<PageMap>>,
}

impl Default for AnswerBook {
    fn default() -> Self {
        Self { stripes: (0..STRIPES).map(|_| Mutex::new(PageMap::default())).collect() }
    }
}

impl AnswerBook {
    /// Opens a page for an attempt about to be dispatched.
    pub fn open(&self, attempt: AttemptId, limit: usize) -> Arc<AnswerPage> {
        let page = Arc::new(AnswerPage::new(attempt, limit));
        self.stripe(attempt).insert(attempt, Arc::clone(&page));
        page
    }

    /// The page of an attempt; `None` for one that was given up or never dispatched here.
    pub fn page(&self, attempt: AttemptId) -> Option<Arc<AnswerPage>> {
        self.stripe(attempt).get(&attempt).cloned()
    }

    /// Forgets an attempt. Readers that hold its page keep it.
    pub fn close(&self, attempt: AttemptId) {
        self.stripe(attempt).remove(&attempt);
    }

    fn stripe(&self, attempt: AttemptId) -> MutexGuard<'_, PageMap> {
        let place = (attempt.request.0 as usize ^ attempt.number as usize) % STRIPES;
        self.stripes[place].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
