//! A bounded set that forgets by age.

use std::{collections::VecDeque, hash::Hash, time::Duration};

use notch_types::prelude::*;

/// Things remembered for a while; the oldest goes first when there are too many.
#[derive(Debug)]
pub struct ExpiringSet<K> {
    /// Until when each is remembered.
    keys: FastMap<K, MonoTime>,
    /// In order of remembering; holds every key of `keys`, older entries of a key too.
    ages: VecDeque<(MonoTime, K)>,
    /// Until then something was forgotten before its time.
    overflow_until: MonoTime,
    age: Duration,
    size: usize,
}

impl<K: Copy + Eq + Hash> ExpiringSet<K> {
    /// Remembers at most `size` keys, each for `age`.
    pub fn new(age: Duration, size: usize) -> Self {
        Self {
            keys: FastMap::default(),
            ages: VecDeque::new(),
            overflow_until: MonoTime::default(),
            age,
            size: size.max(1),
        }
    }

    /// Remembers a key, anew when it is there.
    pub fn insert(&mut self, now: MonoTime, key: K) {
        while self.ages.front().is_some_and(|(until, _)| *until <= now) {
            self.drop_oldest(now);
        }
        let until = now + self.age;
        self.keys.insert(key, until);
        self.ages.push_back((until, key));
        while self.ages.len() > self.size {
            self.drop_oldest(now);
        }
    }

    /// Whether the key is remembered.
    pub fn contains(&self, now: MonoTime, key: K) -> bool {
        self.keys.get(&key).is_some_and(|until| *until > now)
    }

    /// Whether a key that should still be remembered may have been dropped for want of room.
    pub fn has_overflowed(&self, now: MonoTime) -> bool {
        self.overflow_until > now
    }

    fn drop_oldest(&mut self, now: MonoTime) {
        let Some((until, key)) = self.ages.pop_front() else { return };
        if self.keys.get(&key) != Some(&until) {
            return;
        }
        self.keys.remove(&key);
        if until > now {
            self.overflow_until = self.overflow_until.max(until);
        }
    }
}
