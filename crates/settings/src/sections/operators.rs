//! `[operators]`: who may edit the catalogue and ask about the fleet.

use crate::file::FieldVisitor;

/// Hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;

/// Who may edit the catalogue and ask about the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OperatorSettings {
    /// SHA-256 of the operators' key, hexadecimal. Without one nobody is an operator. It stands
    /// here and not in the catalogue, so that the first entry can be written at all.
    pub key_sha256: Option<String>,
}

impl OperatorSettings {
    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("operators");
        fields.optional_text("key_sha256", &mut self.key_sha256);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("operators");
        let is_digest = |text: &String| {
            text.len() == DIGEST_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
        };
        if self.key_sha256.as_ref().is_some_and(|text| !is_digest(text)) {
            fields.clash("key_sha256", "key_sha256 is not 64 hexadecimal digits");
        }
    }
}
