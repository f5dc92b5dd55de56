//! HTTP call as read from a connection.

use std::collections::BTreeMap;

/// Header of a call.
#[derive(Debug)]
pub(crate) struct Header {
    /// Name in lower case.
    pub(crate) name: String,
    /// Value as sent.
    pub(crate) value: String,
}

/// HTTP call.
#[derive(Debug)]
pub(crate) struct Call {
    /// Method in upper case.
    pub(crate) method: String,
    /// Percent-decoded path without the query.
    pub(crate) path: String,
    /// Path and query as sent.
    pub(crate) target: String,
    /// Headers in the order sent.
    pub(crate) headers: Vec<Header>,
    /// Whole body.
    pub(crate) body: Vec<u8>,
    query: BTreeMap<String, String>,
}

impl Call {
    /// Creates a call from the method and target of its request line, its headers and its body.
    pub(crate) fn new(method: &str, target: &str, headers: Vec<Header>, body: Vec<u8>) -> Call {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let pairs = query.split('&').filter(|pair| !pair.is_empty());
        let query = pairs
            .map(|pair| pair.split_once('=').unwrap_or((pair, "")))
            .map(|(name, value)| (percent_decode(name), percent_decode(value)))
            .collect();
        Call {
            method: method.to_ascii_uppercase(),
            path: percent_decode(path),
            target: target.to_string(),
            headers,
            body,
            query,
        }
    }

    /// Returns the value of a header; `name` must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.name == name).map(|header| header.value.as_str())
    }

    /// Returns the percent-decoded value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        self.query.get(name).map(String::as_str)
    }

    /// Returns the value of a query parameter as a number; `None` if it is missing or not a number.
    pub(crate) fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Parses the body as JSON.
    pub(crate) fn json<T: serde::de::DeserializeOwned>(&self) -> Result<T, serde_json::Error> {
        serde_json::from_slice(&self.body)
    }
}

fn percent_decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let escape = (bytes[index] == b'%').then(|| bytes.get(index + 1..index + 3)).flatten();
        let value = escape
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(value.unwrap_or(bytes[index]));
        index += if value.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}
