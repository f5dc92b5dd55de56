//! Position in a list of objects that comes in pages.

use std::collections::BTreeSet;

/// The list has more pages, but the next one cannot be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq, thiserror::Error)]
#[error("the list does not go on after a page")]
pub struct ListStalled;

/// Length up to which a name leaves room in a request line, in bytes.
const MAX_PLAIN_NAME_BYTES: usize = 256;

/// What stands for an empty name, which begins a list again. Names up to it name nothing to use.
const BEHIND_EMPTY_NAME: &[u8] = b" ";

/// Whether a name is short, and all its bytes are unreserved in URLs, so that it reads the same however a store decodes
/// queries.
fn is_plain(name: &[u8]) -> bool {
    let is_unreserved = |byte: &u8| byte.is_ascii_alphanumeric() || b"-._~".contains(byte);
    !name.is_empty() && name.len() <= MAX_PLAIN_NAME_BYTES && name.iter().all(is_unreserved)
}

/// Name after which the next page of a list starts.
///
/// Other writers choose names that are too long for a URL, or mean something else in one, and not every store decodes these as
/// they were encoded. The next page therefore starts after the last plain name of a page, although it may repeat items then. If
/// it has no new ones, it is read again after the very last name.
///
/// ```
/// use godwit_core::replica::{ListCursor, ListStalled};
/// let mut cursor = ListCursor::default();
/// assert_eq!(cursor.advance(["i-1", "k&k"].map(str::as_bytes)), Ok(()));
/// assert_eq!(cursor.after(), Some(&b"i-1"[..]));
/// assert_eq!(cursor.advance(["k&k"].map(str::as_bytes)), Ok(()));
/// assert_eq!(cursor.after(), Some(&b"k&k"[..]));
/// assert_eq!(cursor.advance(["k&k"].map(str::as_bytes)), Err(ListStalled));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ListCursor {
    seen: BTreeSet<Vec<u8>>,
    after: Option<Vec<u8>>,
    /// Last name of the last page that had new items.
    last: Option<Vec<u8>>,
}

impl ListCursor {
    /// Returns the name after which the next page starts; none for the first page.
    pub fn after(&self) -> Option<&[u8]> {
        self.after.as_deref()
    }

    /// Moves behind a page, after which the list goes on, with the names of its items in their order.
    ///
    /// # Errors
    /// When the page has no new names, although it starts after the very last name known.
    pub fn advance<'a>(
        &mut self,
        names: impl IntoIterator<Item = &'a [u8]>,
    ) -> Result<(), ListStalled> {
        let (mut last, mut last_plain) = (None, None);
        let mut has_new = false;
        for name in names {
            has_new |= self.seen.insert(name.to_vec());
            last = Some(if name.is_empty() { BEHIND_EMPTY_NAME } else { name });
            last_plain = Some(name).filter(|name| is_plain(name)).or(last_plain);
        }
        if has_new {
            self.last = last.map(<[u8]>::to_vec);
            self.after = last_plain.or(last).map(<[u8]>::to_vec);
        } else if self.after == self.last {
            return Err(ListStalled);
        } else {
            self.after.clone_from(&self.last);
        }
        Ok(())
    }
}
