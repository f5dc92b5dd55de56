//! Kinds of requests and how often each comes.

use std::ops::Range;
use std::str::FromStr;

use crate::site::Names;

/// Shares of the workspaces in percent: a few are large.
pub(super) const WORKSPACE_SHARES: [u32; 10] = [30, 20, 10, 8, 7, 6, 6, 5, 4, 4];

/// Whose requests are sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MixName {
    /// Shops: many lookups and confirmations, few long texts.
    Brackenford,
    /// Small firms: mostly drafts, answers and summaries.
    Mabaso,
}

impl MixName {
    /// The name as in the flag.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            MixName::Brackenford => "brackenford",
            MixName::Mabaso => "mabaso",
        }
    }

    /// The shares, which add up to 100.
    pub(super) fn shares(self) -> [Share; 4] {
        let shares = match self {
            MixName::Brackenford => [(Class::Page, 30), (Class::Lookup, 30), (Class::Once, 25)],
            MixName::Mabaso => [(Class::Page, 15), (Class::Lookup, 10), (Class::Once, 5)],
        };
        let rest = 100 - shares.iter().map(|(_, percent)| percent).sum::<u32>();
        let [first, second, third] = shares.map(|(class, percent)| Share { class, percent });
        [first, second, third, Share { class: Class::Text, percent: rest }]
    }
}

impl FromStr for MixName {
    type Err = String;

    fn from_str(text: &str) -> Result<MixName, String> {
        let names = [MixName::Brackenford, MixName::Mabaso];
        let found = names.into_iter().find(|name| name.as_str() == text);
        found.ok_or_else(|| "expected `brackenford` or `mabaso`".to_string())
    }
}

/// How often a class of requests comes.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) class: Class,
    pub(super) percent: u32,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// A page of a plain service.
    Page,
    /// A short answer of a model.
    Lookup,
    /// A confirmation that runs at most once.
    Once,
    /// A long answer of a model.
    Text,
}

impl Class {
    /// All classes.
    pub(super) const ALL: [Class; 4] = [Class::Page, Class::Lookup, Class::Once, Class::Text];

    /// Name in reports.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Class::Page => "page",
            Class::Lookup => "lookup",
            Class::Once => "confirmation",
            Class::Text => "text",
        }
    }

    /// Kind in the configuration.
    pub(super) fn kind(self) -> &'static str {
        match self {
            Class::Page | Class::Lookup => Names::KIND_LOOKUP,
            Class::Once => Names::KIND_ONCE,
            Class::Text => Names::KIND,
        }
    }

    /// Most tokens of an answer.
    pub(super) fn max_tokens(self) -> u32 {
        match self {
            Class::Page => 0,
            Class::Lookup => 16,
            Class::Once => 48,
            Class::Text => 192,
        }
    }

    /// Length of a prompt after the prefix that its workspace shares.
    pub(super) fn unshared_prompt_bytes(self) -> Range<usize> {
        match self {
            Class::Text => 200..1_200,
            Class::Page | Class::Lookup | Class::Once => 16..120,
        }
    }

    /// An answer is in time when it is whole this long after the request.
    pub(super) fn deadline_ms(self) -> u64 {
        match self {
            Class::Page | Class::Lookup => 4_000,
            Class::Once => 10_000,
            Class::Text => 15_000,
        }
    }

    /// Whether the caller waits for the first byte.
    pub(super) fn is_lookup(self) -> bool {
        matches!(self, Class::Page | Class::Lookup)
    }

    /// Whether the answer is streamed.
    pub(super) fn is_streamed(self) -> bool {
        matches!(self, Class::Lookup | Class::Text)
    }
}
