//! Content of requests and responses, in pieces.

use std::collections::VecDeque;

use bytes::Bytes;

/// Content of a request or response, in pieces that are shared by its copies.
#[derive(Clone, Default)]
pub(crate) struct Content {
    /// None of them is empty.
    pieces: VecDeque<Bytes>,
    size_bytes: usize,
}

impl Content {
    pub(crate) fn len(&self) -> usize {
        self.size_bytes
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.pieces.is_empty()
    }

    pub(crate) fn push(&mut self, piece: Bytes) {
        if !piece.is_empty() {
            self.size_bytes += piece.len();
            self.pieces.push_back(piece);
        }
    }

    pub(crate) fn pieces(&self) -> impl Iterator<Item = &[u8]> {
        self.pieces.iter().map(|piece| &piece[..])
    }

    /// Takes up to `max_bytes` from the front; none if the content is empty.
    pub(crate) fn take_front(&mut self, max_bytes: usize) -> Option<Bytes> {
        let first = self.pieces.front_mut()?;
        let front = first.split_to(first.len().min(max_bytes));
        if first.is_empty() {
            self.pieces.pop_front();
        }
        self.size_bytes -= front.len();
        Some(front)
    }

    /// Joins the pieces, which copies content of more than one.
    pub(crate) fn to_bytes(&self) -> Bytes {
        match self.pieces.front() {
            Some(piece) if self.pieces.len() == 1 => piece.clone(),
            _ => self.pieces().collect::<Vec<_>>().concat().into(),
        }
    }
}

impl From<Bytes> for Content {
    fn from(bytes: Bytes) -> Content {
        let mut content = Content::default();
        content.push(bytes);
        content
    }
}
