//! A program's settings as a whole: read from a file, and written as one.

use crate::{
    error::SettingsErrors,
    file::{FieldVisitor, SettingsFile},
};

/// Reads settings: defaults, then what `visit` finds in the file, then what `check` holds against it.
///
/// # Errors
/// Every fault of the file, in line order.
pub(crate) fn read_config<C: Default>(
    file: &SettingsFile,
    visit: impl FnOnce(&mut C, &mut FieldVisitor<'_>),
    check: impl FnOnce(&C, &mut FieldVisitor<'_>),
) -> Result<C, SettingsErrors> {
    let mut config = C::default();
    let mut fields = FieldVisitor::read(file);
    visit(&mut config, &mut fields);
    check(&config, &mut fields);
    fields.finish().map(|()| config)
}

/// The settings as the text of a file.
pub(crate) fn render_config<C: Clone>(
    config: &C,
    visit: impl FnOnce(&mut C, &mut FieldVisitor<'_>),
) -> String {
    let mut fields = FieldVisitor::write();
    visit(&mut config.clone(), &mut fields);
    fields.into_text()
}
