//! The headers of a message.

/// The headers of a message, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<(String, String)>);

impl HeaderList {
    /// Adds a header.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// Value of the first header with that name; case-insensitive.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// All headers, as pairs of name and value.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// Values of all headers with that name; case-insensitive.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether the comma-separated values of a header contain `token`; case-insensitive.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the header applies only to this connection and must not be forwarded.
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP_BY_HOP: [&str; 9] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "transfer-encoding",
            "content-length",
            "te",
            "trailer",
            "upgrade",
            "expect",
        ];
        HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name)) || self.lists("connection", name)
    }
}
