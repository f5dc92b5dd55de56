//! Headers and the rules for forwarding them.

/// An HTTP header.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Header {
    /// Name; case-insensitive.
    pub name: String,
    /// Value.
    pub value: String,
}

impl Header {
    /// Creates a header.
    ///
    /// ```
    /// use godwit_service::Header;
    /// assert!(Header::new("Accept", "text/plain").is_named("accept"));
    /// ```
    pub fn new(name: &str, value: &str) -> Header {
        Header { name: name.to_string(), value: value.to_string() }
    }

    /// Returns whether the header has this name, ignoring case.
    pub fn is_named(&self, name: &str) -> bool {
        self.name.eq_ignore_ascii_case(name)
    }
}

/// Hop-by-hop headers, and headers that the sender of a message writes itself.
const NOT_FORWARDED: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Returns the headers to forward: without [`NOT_FORWARDED`] and without those named by a `Connection` header.
pub(crate) fn forwarded(headers: &[Header]) -> impl Iterator<Item = &Header> {
    let named_by_connection = connection_tokens(headers);
    headers.iter().filter(move |header| {
        let fixed = NOT_FORWARDED.iter().any(|name| header.is_named(name));
        let named = named_by_connection.iter().any(|name| header.is_named(name));
        !fixed && !named
    })
}

/// Returns whether the header can be written without changing the framing of the message.
pub(crate) fn is_writable(header: &Header) -> bool {
    let name_is_token = !header.name.is_empty()
        && header
            .name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte));
    let value_is_line = !header.value.bytes().any(|byte| matches!(byte, b'\r' | b'\n' | 0));
    name_is_token && value_is_line
}

fn connection_tokens(headers: &[Header]) -> Vec<String> {
    headers
        .iter()
        .filter(|header| header.is_named("connection"))
        .flat_map(|header| header.value.split(','))
        .map(|token| token.trim().to_string())
        .collect()
}
