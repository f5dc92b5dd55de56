//! The key shared by all entry hosts, and the authentication codes made with it.

use std::fmt;

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Length of an authentication code: HMAC-SHA256, truncated.
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
    /// A key made of a shared secret of any length.
    pub fn new(secret: &[u8]) -> PeerKey {
        PeerKey(keyed(secret))
    }

    /// A key for one purpose, derived from this one.
    pub(crate) fn derive(&self, parts: &[&[u8]]) -> PeerKey {
        PeerKey(keyed(&self.digest(parts)))
    }

    /// The code of the concatenated parts.
    pub(crate) fn mac(&self, parts: &[&[u8]]) -> [u8; MAC_BYTES] {
        let mut mac = [0; MAC_BYTES];
        mac.copy_from_slice(&self.digest(parts)[..MAC_BYTES]);
        mac
    }

    /// Whether `mac` is the code of the concatenated parts; takes the same time for every wrong code.
    pub(crate) fn verify(&self, parts: &[&[u8]], mac: &[u8]) -> bool {
        mac.len() == MAC_BYTES && self.fed(parts).verify_truncated_left(mac).is_ok()
    }

    fn digest(&self, parts: &[&[u8]]) -> [u8; 32] {
        self.fed(parts).finalize().into_bytes().into()
    }

    fn fed(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
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
fn keyed(secret: &[u8]) -> Hmac<Sha256> {
    Hmac::new_from_slice(secret).expect("HMAC takes a key of any length")
}
