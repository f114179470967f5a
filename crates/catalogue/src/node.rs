//! The catalogue of one gateway.

use notch_types::prelude::*;
use rand::rngs::SmallRng;

use crate::{
    effect::CatalogueEffect, event::CatalogueEvent, settings::CatalogueSettings, table::EntryTable,
};

/// The catalogue of one gateway. Its calls are numbered from 1: the driver tells them from those
/// of other decisions by whose effect they were.
#[derive(Debug)]
pub struct CatalogueNode {
    vm: VmName,
    domain: DomainName,
    settings: CatalogueSettings,
    random: SmallRng,
    table: EntryTable,
    ready: bool,
}

impl CatalogueNode {
    /// A node that has nothing in force.
    pub fn new(
        vm: &VmName,
        domain: &DomainName,
        settings: CatalogueSettings,
        random: SmallRng,
    ) -> Self {
        let table = EntryTable::new(settings.max_entries);
        Self { vm: vm.clone(), domain: domain.clone(), settings, random, table, ready: false }
    }

    /// Takes one event and appends what it wants done.
    pub fn handle(
        &mut self,
        _now: Now,
        _event: CatalogueEvent,
        _effects: &mut Vec<CatalogueEffect>,
    ) {
        let _ = (&self.vm, &self.domain, &self.settings, &self.random);
    }

    /// When the next tick is due.
    pub fn next_wake(&self) -> Option<MonoTime> {
        None
    }

    /// The entries in force.
    pub fn table(&self) -> &EntryTable {
        &self.table
    }

    /// Whether the catalogue was complete once; before that nothing may be served by it.
    pub fn is_ready(&self) -> bool {
        self.ready
    }
}
