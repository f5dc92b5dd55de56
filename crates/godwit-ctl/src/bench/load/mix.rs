//! Classes of requests, and the mixes in which they are sent.

use std::ops::Range;
use std::str::FromStr;

use crate::site::Names;

/// Shares of the requests that each workspace sends, in percent. A few workspaces are large.
pub(super) const WORKSPACE_SHARES: [u32; 10] = [30, 20, 10, 8, 7, 6, 6, 5, 4, 4];

/// Mix of requests, modelled on a customer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum MixName {
    /// Shops: many lookups and confirmations, few long texts.
    Brackenford,
    /// Small firms: mostly drafts, answers and summaries.
    Mabaso,
}

impl MixName {
    /// Returns the name of the mix as given to the flag `--mix`.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            MixName::Brackenford => "brackenford",
            MixName::Mabaso => "mabaso",
        }
    }

    /// Returns the shares of the classes, which add up to 100.
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

/// Share of a class among the requests, in percent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) class: Class,
    pub(super) percent: u32,
}

/// A class of requests.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) enum Class {
    /// A page served by a plain service.
    Page,
    /// A short response of a model.
    Lookup,
    /// A confirmation that runs at most once.
    Once,
    /// A long response of a model.
    Text,
}

impl Class {
    /// All classes.
    pub(super) const ALL: [Class; 4] = [Class::Page, Class::Lookup, Class::Once, Class::Text];

    /// Returns the name of the class in reports.
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Class::Page => "page",
            Class::Lookup => "lookup",
            Class::Once => "confirmation",
            Class::Text => "text",
        }
    }

    /// Returns the kind of work under which the requests are sent.
    pub(super) fn kind(self) -> &'static str {
        match self {
            Class::Page | Class::Lookup => Names::KIND_LOOKUP,
            Class::Once => Names::KIND_ONCE,
            Class::Text => Names::KIND,
        }
    }

    /// Returns the maximum number of tokens in a response; 0 for a plain service.
    pub(super) fn max_tokens(self) -> u32 {
        match self {
            Class::Page => 0,
            Class::Lookup => 16,
            Class::Once => 48,
            Class::Text => 192,
        }
    }

    /// Returns the range of prompt lengths, not counting the prefix that all prompts of a workspace share.
    pub(super) fn unshared_prompt_bytes(self) -> Range<usize> {
        match self {
            Class::Text => 200..1_200,
            Class::Page | Class::Lookup | Class::Once => 16..120,
        }
    }

    /// Returns the time after sending a request within which the complete response must arrive.
    pub(super) fn deadline_ms(self) -> u64 {
        match self {
            Class::Page | Class::Lookup => 4_000,
            Class::Once => 10_000,
            Class::Text => 15_000,
        }
    }

    /// Whether requests of the class count towards the first-byte times of lookups, as their callers wait for the first
    /// byte.
    pub(super) fn is_lookup(self) -> bool {
        matches!(self, Class::Page | Class::Lookup)
    }

    /// Whether responses are streamed.
    pub(super) fn is_streamed(self) -> bool {
        matches!(self, Class::Lookup | Class::Text)
    }
}
