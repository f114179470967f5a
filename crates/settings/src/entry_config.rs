//! Settings of the relaying gateway of an entry VM, which runs against the platform's store alone, and of the
//! process of a VM with a disk.

use std::path::Path;

use crate::{
    error::SettingsErrors,
    file::{FieldVisitor, SettingsFile, read_config, render_config},
    sections::{
        AccountSettings, ConnectionSettings, EntryListenSettings, FleetSettings, LinkSettings,
        LoggingSettings, MemorySettings, NodeSettings, StopSettings, StoreSettings,
    },
};

/// Everything a relaying gateway is set to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntryConfig {
    /// `[node]`
    pub node: NodeSettings,
    /// `[listen]`
    pub listen: EntryListenSettings,
    /// `[store]`
    pub store: StoreSettings,
    /// `[links]`
    pub links: LinkSettings,
    /// `[accounts]`
    pub accounts: AccountSettings,
    /// `[fleet]`
    pub fleet: FleetSettings,
    /// `[connections]`
    pub connections: ConnectionSettings,
    /// `[memory]`
    pub memory: MemorySettings,
    /// `[stop]`
    pub stop: StopSettings,
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl EntryConfig {
    /// Reads the settings, or tells everything that is wrong with the file.
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
        self.store.visit(fields);
        self.links.visit(fields);
        self.accounts.visit(fields);
        self.fleet.visit(fields);
        self.connections.visit(fields);
        self.memory.visit(fields);
        self.stop.visit(fields);
        self.logging.visit(fields);
    }

    fn check(&self, fields: &mut FieldVisitor<'_>) {
        self.listen.check(fields);
        self.store.check(fields);
        self.links.check(fields);
        self.stop.check(fields);
    }
}

/// Everything the process of a VM with a disk is set to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DiskConfig {
    /// `[node]`
    pub node: NodeSettings,
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl DiskConfig {
    /// Reads the settings, or tells everything that is wrong with the file.
    ///
    /// # Errors
    /// Every fault of the file, in line order.
    pub fn from_file(file: &SettingsFile) -> Result<Self, SettingsErrors> {
        read_config(file, Self::visit, |_, _| {})
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When it can't be read; else every fault of it, in line order.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_file(&SettingsFile::load(path)?)
    }

    fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        self.node.visit(fields);
        self.logging.visit(fields);
    }
}
