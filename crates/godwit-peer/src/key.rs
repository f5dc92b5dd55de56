//! The key shared by all entry hosts, and the message authentication codes (MACs) computed with it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of a MAC: HMAC-SHA256, truncated to its first 16 bytes.
pub(crate) const MAC_BYTES: usize = 16;

/// The key that authenticates the messages between entry hosts.
///
/// ```
/// use godwit_peer::PeerKey;
/// let key = PeerKey::new(b"a shared secret");
/// assert_eq!(format!("{key:?}"), "PeerKey(..)");
/// ```
#[derive(Clone)]
pub struct PeerKey(Hmac<Sha256>);

impl PeerKey {
    /// Creates a key from a shared secret of any length.
    pub fn new(secret: &[u8]) -> PeerKey {
        PeerKey(hmac_with_key(secret))
    }

    /// Derives a key that is bound to the concatenated `parts`.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> PeerKey {
        PeerKey(hmac_with_key(&self.digest(parts)))
    }

    /// Computes the MAC of the concatenated parts.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&self.digest(parts)[..MAC_BYTES]);
        mac
    }

    /// Returns whether `mac` is the MAC of the concatenated parts; codes are compared in constant time.
    pub(crate) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == MAC_BYTES && self.hmac_over(parts).verify_truncated_left(mac).is_ok()
    }

    fn digest(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.hmac_over(parts).finalize().into_bytes().into()
    }

    fn hmac_over(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut hmac = self.0.clone();
        parts.iter().for_each(|part| hmac.update(part));
        hmac
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerKey(..)")
    }
}

#[expect(clippy::expect_used, reason = "HMAC takes a key of any length")]
fn hmac_with_key(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes a key of any length")
}
