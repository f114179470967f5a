//! Losses of whole failure domains.

use std::{collections::BTreeMap, time::Duration};

use notch_messages::gossip::MemberState;
use notch_types::prelude::*;

use super::book::{HeldMember, MemberBook, is_live};

/// Losses below this many don't make a domain's loss, however small the domain.
const LEAST_LOST: usize = 2;

/// How a domain stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DomainSummary {
    /// The domain.
    pub domain: DomainName,
    /// Members alive, suspected or leaving.
    pub live: usize,
    /// Members held dead.
    pub dead: usize,
    /// Whether the domain is held lost.
    pub down: bool,
}

/// How a domain's standing changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum DomainTurn {
    /// Held lost from now on.
    Down(DomainName),
    /// Held well again.
    Up(DomainName),
}

/// Figures of one domain.
#[derive(Debug, Clone, Copy, Default)]
struct DomainFigures {
    alive: usize,
    /// Suspected or dead since less than the window.
    lost: usize,
}

/// Which domains are held lost.
///
/// The loss of a domain comes as many losses within seconds. Treated one by one, each would
/// move shards and subsets, and many of them onto members that are lost as well but not yet found
/// so; an operator would see a minute of moves instead of one.
/// Bound: one element a domain.
#[derive(Debug)]
pub(crate) struct DomainWatch {
    window: Duration,
    /// Domains held lost, with the members they had.
    down: BTreeMap<DomainName, usize>,
    /// When domains came back; one does not go again within the window, or suspicions that still
    /// travel would make it come and go.
    back: BTreeMap<DomainName, MonoTime>,
}

impl DomainWatch {
    pub(crate) fn new(window: Duration) -> Self {
        Self { window, down: BTreeMap::new(), back: BTreeMap::new() }
    }

    pub(crate) fn is_down(&self, domain: &DomainName) -> bool {
        self.down.contains_key(domain)
    }

    /// Looks at all domains after a change.
    pub(crate) fn turns(&mut self, now: MonoTime, book: &MemberBook) -> Vec<DomainTurn> {
        let window = self.window;
        self.back.retain(|_, at| now.since(*at) < window);
        let mut turns = Vec::new();
        for (domain, figures) in self.figures(now, book) {
            let size = figures.alive + figures.lost;
            match self.down.get(&domain) {
                None if self.back.contains_key(&domain) => {}
                None if figures.lost >= LEAST_LOST && figures.lost * 2 > size => {
                    self.down.insert(domain.clone(), size);
                    turns.push(DomainTurn::Down(domain));
                }
                Some(size) if figures.alive * 2 > *size => {
                    self.down.remove(&domain);
                    self.back.insert(domain.clone(), now);
                    turns.push(DomainTurn::Up(domain));
                }
                _ => {}
            }
        }
        turns
    }

    /// How each domain stands, by name.
    pub(crate) fn summaries(&self, book: &MemberBook) -> Vec<DomainSummary> {
        let mut counts: BTreeMap<&DomainName, (usize, usize)> = BTreeMap::new();
        for held in book.iter() {
            let (live, dead) = counts.entry(&held.update.domain).or_default();
            *if is_live(held.update.state) { live } else { dead } += 1;
        }
        let summary = |(domain, (live, dead)): (&DomainName, (usize, usize))| DomainSummary {
            domain: domain.clone(),
            live,
            dead,
            down: self.is_down(domain),
        };
        counts.into_iter().map(summary).collect()
    }

    fn figures(&self, now: MonoTime, book: &MemberBook) -> BTreeMap<DomainName, DomainFigures> {
        let mut domains: BTreeMap<DomainName, DomainFigures> = BTreeMap::new();
        for held in book.iter() {
            let figures = domains.entry(held.update.domain.clone()).or_default();
            self.add(now, held, figures);
        }
        domains
    }

    fn add(&self, now: MonoTime, held: &HeldMember, figures: &mut DomainFigures) {
        let recent = now.since(held.since) < self.window;
        match held.update.state {
            MemberState::Alive => figures.alive += 1,
            MemberState::Suspect | MemberState::Dead if recent => figures.lost += 1,
            MemberState::Suspect | MemberState::Leaving | MemberState::Dead => {}
        }
    }
}
