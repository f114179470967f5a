//! `[fleet]`: optional ways in which the gateways of a fleet work together.

use crate::file::FieldVisitor;

/// A flag with its name in the file.
const YES_NO: [(&str, bool); 2] = [("no", false), ("yes", true)];

/// Whether an optional feature is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum FeatureSwitch {
    /// Not used.
    #[default]
    Off,
    /// Used.
    On,
    /// Used if `declared` says that the gateways share their targets.
    Declared,
}

impl FeatureSwitch {
    /// Every value with its name in the file.
    const ALL: [(&'static str, Self); 3] =
        [("off", Self::Off), ("on", Self::On), ("declared", Self::Declared)];

    /// Whether the feature is used in a deployment that does, or doesn't, declare shared targets.
    pub fn is_on(self, shares_targets: bool) -> bool {
        match self {
            Self::Off => false,
            Self::On => true,
            Self::Declared => shares_targets,
        }
    }
}

/// Optional ways in which the gateways of a fleet work together.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetSettings {
    /// What the platform declares of the deployment, a list of words separated by commas.
    pub declared: Option<String>,
    /// Whether the whole fleet starts for the first time, so that nothing was served before.
    pub first_start: bool,
    /// Whether home gateways offer their free slots to the gateway with the most urgent items.
    pub share_item_slots: FeatureSwitch,
    /// Whether failures and pace of targets are learned and shared.
    pub learn_performance: FeatureSwitch,
    /// Whether connections to targets are kept for longer once they have proved to work.
    pub keep_connections: FeatureSwitch,
    /// Whether the entry of a gateway that was removed for good is deleted.
    pub evict_gateways: FeatureSwitch,
    /// Whether slots are shared among accounts when fewer than a quarter of them are free.
    pub share_slots_fairly: FeatureSwitch,
}

impl FleetSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("fleet");
        fields.optional_text("declared", &mut self.declared);
        fields.choice("first_start", &mut self.first_start, &YES_NO, "no or yes");
        let expected = "off, on or declared";
        let switches = [
            ("share_item_slots", &mut self.share_item_slots),
            ("learn_performance", &mut self.learn_performance),
            ("keep_connections", &mut self.keep_connections),
            ("evict_gateways", &mut self.evict_gateways),
            ("share_slots_fairly", &mut self.share_slots_fairly),
        ];
        for (key, switch) in switches {
            fields.choice(key, switch, &FeatureSwitch::ALL, expected);
        }
    }
}
