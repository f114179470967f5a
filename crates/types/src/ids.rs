//! Identifiers used across the fleet.

use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::hash::stable_hash128;

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name without validating it; callers validate it first.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
        )]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

name_type! {
    /// A VM of the fleet: an entry VM running a gateway, or a target VM running a sidecar.
    VmName
}
name_type! {
    /// A failure domain.
    DomainName
}
name_type! {
    /// A caller's account.
    AccountName
}
name_type! {
    /// A target by its catalogue name: a model or a plain service.
    TargetName
}

number_id! {
    /// A ledger shard, `0..shard count`.
    ShardId(u16)
}
number_id! {
    /// The epoch of a lease; raised each time the holder changes and used as a fencing token.
    Epoch(u64)
}
number_id! {
    /// The version that the object API assigned to a catalogue entry; increases with each write and
    /// is never reused.
    EntryVersion(u64)
}
number_id! {
    /// A number drawn at each start of a process; a different number means that it restarted.
    Incarnation(u64)
}
number_id! {
    /// An item's index in its job, from 0, in input order.
    ItemIndex(u32)
}
number_id! {
    /// A lot of items leased to a sidecar; unique within (shard, epoch).
    LotId(u64)
}
number_id! {
    /// A call between processes or to the object API; unique within one run of the calling process.
    CallId(u64)
}

/// One caller's request. Derived from account and idempotency key when there is one, so that
/// every gateway computes the same id for a resend; random otherwise.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestId(pub u128);

impl RequestId {
    /// The id of a request that carries an idempotency key.
    pub fn keyed(account: &AccountName, key: &str) -> Self {
        Self(stable_hash128(&[b"request", account.as_str().as_bytes(), key.as_bytes()]))
    }

    /// The ledger shard that holds this request's claim and result.
    pub fn shard(self, shard_count: u16) -> ShardId {
        ShardId((self.0 % u128::from(shard_count.max(1))) as u16)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r-{:032x}", self.0)
    }
}

impl fmt::Debug for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A text could not be parsed as an id of the expected kind.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct IdError;

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("not a valid id")
    }
}

impl std::error::Error for IdError {}

impl FromStr for RequestId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let digits = text.strip_prefix("r-").filter(|d| d.len() == 32).ok_or(IdError)?;
        u128::from_str_radix(digits, 16).map(Self).map_err(|_| IdError)
    }
}

/// One job. Derived from account and idempotency key (or content digest), so that a resend maps
/// to the same job without a look-up; the id contains the shard.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct JobId {
    /// The ledger shard that owns the job.
    pub shard: ShardId,
    /// Digest of the account and the key.
    pub digest: u128,
}

impl JobId {
    /// The id of the job that `account` submits under `key`.
    pub fn derive(account: &AccountName, key: &str, shard_count: u16) -> Self {
        let digest = stable_hash128(&[b"job", account.as_str().as_bytes(), key.as_bytes()]);
        Self { shard: ShardId((digest % u128::from(shard_count.max(1))) as u16), digest }
    }
}

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "j-{:04x}-{:032x}", self.shard.0, self.digest)
    }
}

impl fmt::Debug for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let rest = text.strip_prefix("j-").ok_or(IdError)?;
        let (shard, digest) = rest.split_once('-').ok_or(IdError)?;
        if shard.len() != 4 || digest.len() != 32 {
            return Err(IdError);
        }
        let shard = u16::from_str_radix(shard, 16).map_err(|_| IdError)?;
        let digest = u128::from_str_radix(digest, 16).map_err(|_| IdError)?;
        Ok(Self { shard: ShardId(shard), digest })
    }
}

/// One attempt of a request, or of a job's item, at one sidecar. Answers are matched to attempts
/// by this id, so the answer to an abandoned attempt can't be taken for the current one's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AttemptId {
    /// The request; for an item, the id that [`AttemptId::for_item`] derives.
    pub request: RequestId,
    /// Number of the attempt: unique for the request across gateways, because the high bits are
    /// random.
    pub number: u64,
    /// The incarnation of the sidecar that the attempt was sent to.
    pub incarnation: Incarnation,
}

impl AttemptId {
    /// The id of attempt `number` of a job's item.
    pub fn for_item(job: JobId, item: ItemIndex, number: u64, incarnation: Incarnation) -> Self {
        let digest = stable_hash128(&[b"item", &job.digest.to_le_bytes(), &item.0.to_le_bytes()]);
        Self { request: RequestId(digest), number, incarnation }
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:x}@{:x}", self.request, self.number, self.incarnation.0)
    }
}

/// Digest of a request's target and body. Two requests for the same work have the same
/// fingerprint, whoever sends them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// The fingerprint of a request with this body to `target`.
    pub fn of(target: &TargetName, body: &[u8]) -> Self {
        Self(stable_hash128(&[b"fingerprint", target.as_str().as_bytes(), body]))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "f-{:032x}", self.0)
    }
}

impl fmt::Debug for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
