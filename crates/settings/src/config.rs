//! The settings of each program, gathered from their sections.

use std::path::Path;

use crate::{
    error::SettingsErrors,
    file::{FieldVisitor, SettingsFile, read_config, render_config},
    sections::{
        AdmissionSettings, JobSettings, LedgerSettings, LimitSettings, LinkSettings,
        ListenSettings, LoggingSettings, MembershipSettings, NodeSettings, OnlineSettings,
        OperatorSettings, PlacementSettings, PlatformSettings, RelaySettings, TargetSettings,
    },
};

/// Everything a gateway is set to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GatewayConfig {
    /// `[node]`
    pub node: NodeSettings,
    /// `[listen]`
    pub listen: ListenSettings,
    /// `[platform]`
    pub platform: PlatformSettings,
    /// `[links]`
    pub links: LinkSettings,
    /// `[ledger]`
    pub ledger: LedgerSettings,
    /// `[jobs]`
    pub jobs: JobSettings,
    /// `[online]`
    pub online: OnlineSettings,
    /// `[membership]`
    pub membership: MembershipSettings,
    /// `[operators]`
    pub operators: OperatorSettings,
    /// `[placement]`
    pub placement: PlacementSettings,
    /// `[limits]`
    pub limits: LimitSettings,
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl GatewayConfig {
    /// Reads a gateway's settings, or tells everything that is wrong with the file.
    ///
    /// # Errors
    /// Every fault of the file, in line order.
    pub fn from_file(file: &SettingsFile) -> Result<Self, SettingsErrors> {
        read_config(file, Self::visit, Self::check)
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When it can't be read; else every fault of it, in line order.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_file(&SettingsFile::load(path)?)
    }

    /// The settings as the text of a file.
    pub fn render(&self) -> String {
        render_config(self, Self::visit)
    }

    fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        self.node.visit(fields);
        self.listen.visit(fields);
        self.platform.visit(fields);
        self.links.visit(fields);
        self.ledger.visit(fields);
        self.jobs.visit(fields);
        self.online.visit(fields);
        self.membership.visit(fields);
        self.operators.visit(fields);
        self.placement.visit(fields);
        self.limits.visit(fields);
        self.logging.visit(fields);
    }

    fn check(&self, fields: &mut FieldVisitor<'_>) {
        self.listen.check(fields);
        self.platform.check(fields);
        self.links.check(fields);
        self.ledger.check(fields);
        self.jobs.check(fields);
        self.online.check(fields);
        self.membership.check(fields);
        self.operators.check(fields);
        self.placement.check(fields);
    }
}

/// Everything a sidecar is set to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SidecarConfig {
    /// `[node]`
    pub node: NodeSettings,
    /// `[listen]`
    pub listen: RelaySettings,
    /// `[platform]`
    pub platform: PlatformSettings,
    /// `[links]`
    pub links: LinkSettings,
    /// `[membership]`
    pub membership: MembershipSettings,
    /// `[target]`
    pub target: TargetSettings,
    /// `[admission]`
    pub admission: AdmissionSettings,
    /// `[limits]`
    pub limits: LimitSettings,
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl SidecarConfig {
    /// Reads a sidecar's settings, or tells everything that is wrong with the file.
    ///
    /// # Errors
    /// Every fault of the file, in line order.
    pub fn from_file(file: &SettingsFile) -> Result<Self, SettingsErrors> {
        read_config(file, Self::visit, Self::check)
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When it can't be read; else every fault of it, in line order.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_file(&SettingsFile::load(path)?)
    }

    /// The settings as the text of a file.
    pub fn render(&self) -> String {
        render_config(self, Self::visit)
    }

    fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        self.node.visit(fields);
        self.listen.visit(fields);
        self.platform.visit(fields);
        self.links.visit(fields);
        self.membership.visit(fields);
        self.target.visit(fields);
        self.admission.visit(fields);
        self.limits.visit(fields);
        self.logging.visit(fields);
    }

    fn check(&self, fields: &mut FieldVisitor<'_>) {
        self.listen.check(fields);
        self.platform.check(fields);
        self.links.check(fields);
        self.membership.check(fields);
        self.admission.check(fields);
    }
}
