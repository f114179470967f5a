//! Ways to choose a target that are compared.

use std::{fmt, str::FromStr};

/// How gateways choose targets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// By reports of the others' use alone.
    Reports,
    /// Places at another gateway's targets are asked for, as shipped.
    Homes,
    /// One that sees every target as it is at each moment.
    AllKnowing,
}

impl SelectionPolicy {
    /// Each policy with its name on the command line.
    pub const ALL: [(&'static str, Self); 3] =
        [("reports", Self::Reports), ("homes", Self::Homes), ("all-knowing", Self::AllKnowing)];
}

impl fmt::Display for SelectionPolicy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let named = Self::ALL.iter().find(|(_, policy)| policy == self);
        f.write_str(named.map_or("", |(name, _)| name))
    }
}

impl FromStr for SelectionPolicy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let named = Self::ALL.iter().find(|(name, _)| *name == text);
        named.map(|(_, policy)| *policy).ok_or_else(|| format!("no policy {text}"))
    }
}
