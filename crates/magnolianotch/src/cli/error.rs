//! How a command ends.

use std::{fmt, io, path::PathBuf, process::ExitCode};

use notch_callers::refusal::ErrorFields;
use notch_http::prelude::{BodyError, ClientError};
use notch_types::prelude::*;

/// How a command ended, as its exit code tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExitKind {
    /// 0: done.
    Done,
    /// 1: refused, or checked and found wrong.
    Refused,
    /// 2: wrong usage, or a local file that can't be read or written.
    Usage,
    /// 3: the gateway can't be reached; nothing was sent.
    Unreachable,
    /// 4: another edit came first.
    Conflict,
    /// 5: sent, and the outcome is unknown.
    Unknown,
}

impl ExitKind {
    /// The exit code.
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::Refused => 1,
            Self::Usage => 2,
            Self::Unreachable => 3,
            Self::Conflict => 4,
            Self::Unknown => 5,
        }
    }
}

impl From<ExitKind> for ExitCode {
    fn from(kind: ExitKind) -> Self {
        ExitCode::from(kind.code())
    }
}

/// Why a command did not do what it was asked.
#[derive(Debug)]
pub enum CliError {
    /// An argument makes no sense.
    Usage(String),
    /// A local file can't be read or written.
    File(PathBuf, io::Error),
    /// Entries that break the schema; each line tells one fault.
    Invalid(Vec<String>),
    /// The gateway refused.
    Refused(ErrorFields),
    /// The gateway got nothing, or may have got it.
    Http(ClientError),
    /// The gateway's answer broke off.
    CutAnswer(BodyError),
    /// The gateway's answer can't be understood; it has this status.
    Malformed(u16),
    /// Another edit came first; both sides.
    Conflict(String),
    /// A development command failed.
    Failed(String),
    /// What is wrong stands in the results already.
    Told,
}

impl CliError {
    /// The kind of exit.
    pub fn exit_kind(&self) -> ExitKind {
        match self {
            Self::Usage(_) | Self::File(..) => ExitKind::Usage,
            Self::Invalid(_) | Self::Failed(_) | Self::Told => ExitKind::Refused,
            Self::Refused(error) if error.ran == Ran::Unknown => ExitKind::Unknown,
            Self::Refused(_) => ExitKind::Refused,
            Self::Http(ClientError::NotSent(_)) => ExitKind::Unreachable,
            Self::Http(ClientError::Lost(_)) | Self::CutAnswer(_) | Self::Malformed(_) => {
                ExitKind::Unknown
            }
            Self::Conflict(_) => ExitKind::Conflict,
        }
    }

    /// The stable code, for scripts.
    pub fn code(&self) -> &str {
        match self {
            Self::Usage(_) => "usage",
            Self::File(..) => "file",
            Self::Invalid(_) => "invalid_entry",
            Self::Refused(error) => &error.code,
            Self::Http(ClientError::NotSent(_)) => "unreachable",
            Self::Http(ClientError::Lost(_)) => "lost",
            Self::CutAnswer(_) => "cut_answer",
            Self::Malformed(_) => "malformed_answer",
            Self::Conflict(_) => "version_conflict",
            Self::Failed(_) | Self::Told => "failed",
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(detail) | Self::Conflict(detail) | Self::Failed(detail) => {
                f.write_str(detail)
            }
            Self::File(path, error) => write!(f, "{}: {error}", path.display()),
            Self::Invalid(faults) => f.write_str(&faults.join("\n")),
            Self::Told => f.write_str("not as it should be"),
            Self::Refused(error) => {
                let ran = match error.ran {
                    Ran::No => "not run",
                    Ran::Unknown => "may have run",
                };
                write!(f, "refused ({}, {ran}): {}", error.code, error.message)?;
                match error.retry_after_ms {
                    Some(millis) => write!(f, "; try again in {millis} ms"),
                    None => Ok(()),
                }
            }
            Self::Http(error) => write!(f, "{error}"),
            Self::CutAnswer(error) => write!(f, "the answer broke off: {error}"),
            Self::Malformed(status) => write!(f, "status {status} with an unknown answer"),
        }
    }
}

impl std::error::Error for CliError {}

impl From<ClientError> for CliError {
    fn from(error: ClientError) -> Self {
        Self::Http(error)
    }
}

impl From<BodyError> for CliError {
    fn from(error: BodyError) -> Self {
        Self::CutAnswer(error)
    }
}
