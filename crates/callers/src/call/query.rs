//! Fields of a query, each taken once; what is left over is a mistake worth telling.

use http_types::Url;
use notch_types::prelude::*;

use super::bad;

/// Most fields of a query.
const MAX_FIELDS: usize = 16;

/// Fields not yet taken.
pub(super) struct QueryFields {
    /// Names and values, decoded; at most [`MAX_FIELDS`] and one.
    fields: Vec<(String, String)>,
}

impl QueryFields {
    /// The fields of `url`.
    pub(super) fn parse(url: &Url) -> Self {
        let pairs = url.query_pairs().take(MAX_FIELDS + 1);
        Self { fields: pairs.map(|(name, value)| (name.into(), value.into())).collect() }
    }

    fn take(&mut self, name: &str) -> Result<Option<String>, Refusal> {
        let Some(at) = self.fields.iter().position(|(field, _)| field == name) else {
            return Ok(None);
        };
        let (_, value) = self.fields.remove(at);
        if self.fields.iter().any(|(field, _)| field == name) {
            return Err(bad(&format!("the query field {name} comes more than once")));
        }
        Ok(Some(value))
    }

    /// A field that must be there.
    pub(super) fn required(&mut self, name: &str) -> Result<String, Refusal> {
        let missing = || bad(&format!("the query field {name} is missing"));
        self.take(name)?.ok_or_else(missing)
    }

    /// `true` or `false`.
    pub(super) fn optional_flag(&mut self, name: &str) -> Result<Option<bool>, Refusal> {
        let wrong = || bad(&format!("the query field {name} is true or false"));
        self.take(name)?.map(|text| text.parse().map_err(|_| wrong())).transpose()
    }

    /// A whole number.
    pub(super) fn optional_number(&mut self, name: &str) -> Result<Option<u32>, Refusal> {
        let wrong = || bad(&format!("the query field {name} is a whole number"));
        self.take(name)?.map(|text| text.parse().map_err(|_| wrong())).transpose()
    }

    /// Nothing may be left: a misspelt field that is ignored looks like one that took effect.
    pub(super) fn finish(self) -> Result<(), Refusal> {
        match self.fields.first() {
            None => Ok(()),
            Some((name, _)) => Err(bad(&format!("unknown query field {name}"))),
        }
    }
}
