//! `[links]`: links between the system's own processes.

use std::{fs, path::PathBuf, time::Duration};

use crate::{
    error::{SettingsError, SettingsErrors, SettingsProblem},
    file::FieldVisitor,
};

/// Default file of the shared secret, beside the process's working folder.
const SECRET_FILE: &str = "link.secret";
/// Fewest bytes of a shared secret.
const SECRET_MIN_BYTES: usize = 16;

/// Links between the system's own processes.
#[derive(Clone, PartialEq, Eq)]
pub struct LinkSettings {
    /// File that holds the shared secret; `None` when `secret` is given.
    pub secret_file: Option<PathBuf>,
    /// The shared secret itself, for trials; never beside a `secret_file`.
    pub secret: Option<String>,
    /// An idle link is asked this often whether it still carries.
    pub heartbeat: Duration,
    /// A link that has been silent this long is replaced. At least twice `heartbeat`.
    pub silence: Duration,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self {
            secret_file: Some(PathBuf::from(SECRET_FILE)),
            secret: None,
            heartbeat: Duration::from_millis(500),
            silence: Duration::from_secs(2),
        }
    }
}

impl std::fmt::Debug for LinkSettings {
    /// Leaves the secret out, so that no log line can carry it.
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("LinkSettings")
            .field("secret_file", &self.secret_file)
            .field("secret", &self.secret.as_ref().map(|_| "…"))
            .field("heartbeat", &self.heartbeat)
            .field("silence", &self.silence)
            .finish()
    }
}

impl LinkSettings {
    /// The shared secret: given in the settings, or read from its file without the line's end.
    ///
    /// # Errors
    /// When the file can't be read or holds fewer than 16 bytes.
    pub fn read_secret(&self) -> Result<Vec<u8>, SettingsErrors> {
        if let Some(secret) = &self.secret {
            return Ok(secret.clone().into_bytes());
        }
        let path = self.secret_file.clone().unwrap_or_else(|| PathBuf::from(SECRET_FILE));
        let bytes = fs::read(&path).map_err(|e| unreadable(&format!("{}: {e}", path.display())))?;
        let secret = bytes.trim_ascii_end();
        if secret.len() < SECRET_MIN_BYTES {
            return Err(unreadable(&format!("{}: shorter than 16 bytes", path.display())));
        }
        Ok(secret.to_vec())
    }

    pub(crate) fn visit(&mut self, fields: &mut FieldVisitor<'_>) {
        fields.section("links");
        fields.optional_path("secret_file", &mut self.secret_file);
        fields.optional_text("secret", &mut self.secret);
        if self.secret.is_some() && !fields.is_given("secret_file") {
            self.secret_file = None;
        }
        fields.duration("heartbeat", &mut self.heartbeat);
        fields.duration("silence", &mut self.silence);
    }

    pub(crate) fn check(&self, fields: &mut FieldVisitor<'_>) {
        fields.section("links");
        if self.silence < self.heartbeat * 2 {
            fields.clash("silence", "silence is shorter than twice the heartbeat");
        }
        if self.secret.is_some() && self.secret_file.is_some() {
            fields.clash("secret", "secret and secret_file are both given");
        }
        if self.secret.as_ref().is_some_and(|s| s.len() < SECRET_MIN_BYTES) {
            fields.clash("secret", "the secret is shorter than 16 bytes");
        }
    }
}

fn unreadable(detail: &str) -> SettingsErrors {
    SettingsErrors(vec![SettingsError {
        line: 0,
        section: "links".to_owned(),
        key: "secret_file".to_owned(),
        problem: SettingsProblem::Unreadable { detail: detail.to_owned() },
    }])
}
