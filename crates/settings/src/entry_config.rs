//! Settings of the programs that run against the platform's store alone: the relaying gateway of
//! an entry VM, and the process of a VM with a disk.

use std::path::Path;

use crate::{
    error::SettingsErrors,
    file::{FieldVisitor, SettingsFile},
    sections::{EntryListenSettings, LinkSettings, LoggingSettings, NodeSettings, StoreSettings},
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
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl EntryConfig {
    /// Reads the settings, or tells everything that is wrong with the file.
    ///
    /// # Errors
    /// Every fault of the file, in line order.
    pub fn from_file(file: &SettingsFile) -> Result<Self, SettingsErrors> {
        let mut config = Self::default();
        let mut fields = FieldVisitor::read(file);
        config.visit(&mut fields);
        config.listen.check(&mut fields);
        config.store.check(&mut fields);
        config.links.check(&mut fields);
        fields.finish().map(|()| config)
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
        let mut fields = FieldVisitor::write();
        self.clone().visit(&mut fields);
        fields.into_text()
    }

    fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        self.node.visit(fields);
        self.listen.visit(fields);
        self.store.visit(fields);
        self.links.visit(fields);
        self.logging.visit(fields);
    }
}

/// Everything the process of a VM with a disk is set to.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct DiskConfig {
    /// `[node]`
    pub node: NodeSettings,
    /// `[store]`
    pub store: StoreSettings,
    /// `[logging]`
    pub logging: LoggingSettings,
}

impl DiskConfig {
    /// Reads the settings, or tells everything that is wrong with the file.
    ///
    /// # Errors
    /// Every fault of the file, in line order.
    pub fn from_file(file: &SettingsFile) -> Result<Self, SettingsErrors> {
        let mut config = Self::default();
        let mut fields = FieldVisitor::read(file);
        config.node.visit(&mut fields);
        config.store.visit(&mut fields);
        config.logging.visit(&mut fields);
        config.store.check(&mut fields);
        fields.finish().map(|()| config)
    }

    /// Reads the file at `path`.
    ///
    /// # Errors
    /// When it can't be read; else every fault of it, in line order.
    pub fn load(path: &Path) -> Result<Self, SettingsErrors> {
        Self::from_file(&SettingsFile::load(path)?)
    }
}
