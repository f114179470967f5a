//! The headers of one message.

/// The headers of one message, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<(String, String)>);

impl HeaderList {
    /// Adds a header.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push((name.to_owned(), value.to_owned()));
    }

    /// The first header of that name, in any case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// All headers.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (name.as_str(), value.as_str()))
    }

    /// All values of headers of that name.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter().filter(move |(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value)
    }

    /// Whether a comma-separated header lists `token`.
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).flat_map(|v| v.split(',')).any(|t| t.trim().eq_ignore_ascii_case(token))
    }

    /// Whether the header concerns this connection only and must not be passed on.
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
