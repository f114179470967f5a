//! What the catalogue wants of one model.

use notch_messages::prelude::*;
use notch_types::prelude::*;

/// What the catalogue wants of one model. A retired model has zero replicas; a model that is not
/// in the catalogue at all is left alone wherever it is held.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelWanted {
    /// Its catalogue name.
    pub model: TargetName,
    /// Its version in the weight store.
    pub version: String,
    /// Adapters to load beside it, in any order.
    pub adapters: Vec<String>,
    /// Copies wanted, each on a target of its own.
    pub replicas: u32,
    /// Copies below which no planned change may go.
    pub min_replicas: u32,
    /// The role of targets that hold it.
    pub role: String,
}

impl ModelWanted {
    /// The same with sorted adapters and bounds in order: every other part relies on both.
    pub(crate) fn normalized(mut self) -> Self {
        self.adapters.sort();
        self.adapters.dedup();
        self.min_replicas = self.min_replicas.min(self.replicas);
        self
    }

    /// Copies that must go on serving through any planned change: the last one always.
    pub(crate) fn floor(&self) -> u32 {
        match self.replicas {
            0 => 0,
            _ => self.min_replicas.max(1),
        }
    }

    /// The order that loads it.
    pub(crate) fn load_action(&self) -> OrderAction {
        OrderAction::Load {
            model: self.model.clone(),
            version: self.version.clone(),
            adapters: self.adapters.clone(),
        }
    }

    /// Whether `held` is what is wanted now.
    pub(crate) fn is_met_by(&self, held: &HeldModel) -> bool {
        held.version == self.version && held.adapters == self.adapters
    }
}
