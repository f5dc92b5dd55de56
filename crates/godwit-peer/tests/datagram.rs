//! Bad datagrams are told apart and dropped.

use godwit_core::UnixMs;
use godwit_peer::{DatagramDecoder, DatagramEncoder, DatagramError, MAX_DATAGRAM_BYTES, PeerKey};

const NOW: UnixMs = UnixMs(1_000_000);

fn key() -> PeerKey {
    PeerKey::new(b"the shared key of the tests")
}

fn sealed(sealer: &mut DatagramEncoder, body: &str) -> Vec<u8> {
    sealer.encode(&body, NOW).unwrap()
}

#[test]
fn open_own_datagram() {
    let datagram = sealed(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    let (header, body) = DatagramDecoder::new(key()).decode::<String>(&datagram, NOW).unwrap();
    assert_eq!((header.incarnation, header.counter, body.as_str()), (7, 1, "body"));
}

#[test]
fn open_every_truncation() {
    let datagram = sealed(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    for length in 0..datagram.len() {
        let error =
            DatagramDecoder::new(key()).decode::<String>(&datagram[..length], NOW).unwrap_err();
        let is_expected =
            matches!(error, DatagramError::Truncated { .. } | DatagramError::InvalidMac);
        assert!(is_expected, "{length} bytes: {error}");
    }
}

#[test]
fn open_every_flipped_bit() {
    let datagram = sealed(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    for bit in 0..datagram.len() * 8 {
        let mut changed = datagram.clone();
        changed[bit / 8] ^= 1 << (bit % 8);
        let error = DatagramDecoder::new(key()).decode::<String>(&changed, NOW).unwrap_err();
        let is_expected =
            matches!(error, DatagramError::Version { .. } | DatagramError::InvalidMac);
        assert!(is_expected, "bit {bit}: {error}");
    }
}

#[test]
fn open_foreign_key() {
    let datagram =
        sealed(&mut DatagramEncoder::new(PeerKey::new(b"another"), "entry-1", 7), "body");
    let opened = DatagramDecoder::new(key()).decode::<String>(&datagram, NOW);
    assert_eq!(opened.unwrap_err(), DatagramError::InvalidMac);
}

#[test]
fn open_authentic_nonsense() {
    let datagram = DatagramEncoder::new(key(), "entry-1", 7).encode(&(1u8, 2u8, 3u8), NOW).unwrap();
    let opened = DatagramDecoder::new(key()).decode::<u8>(&datagram, NOW);
    assert_eq!(opened.unwrap_err(), DatagramError::Malformed);
}

#[test]
fn open_replayed() {
    let mut sealer = DatagramEncoder::new(key(), "entry-1", 7);
    let first = sealed(&mut sealer, "first");
    let second = sealed(&mut sealer, "second");
    let mut opener = DatagramDecoder::new(key());
    // Out of order is no replay; a second time is.
    assert!(opener.decode::<String>(&second, NOW).is_ok());
    assert!(opener.decode::<String>(&first, NOW).is_ok());
    for datagram in [first, second] {
        assert_eq!(opener.decode::<String>(&datagram, NOW).unwrap_err(), DatagramError::Replayed);
    }
}

#[test]
fn open_older_incarnation() {
    let old = sealed(&mut DatagramEncoder::new(key(), "entry-1", 7), "old");
    let new = sealed(&mut DatagramEncoder::new(key(), "entry-1", 8), "new");
    let mut opener = DatagramDecoder::new(key());
    assert!(opener.decode::<String>(&new, NOW).is_ok());
    assert_eq!(opener.decode::<String>(&old, NOW).unwrap_err(), DatagramError::Replayed);
}

#[test]
fn open_older_incarnation_after_silence() {
    // The clock of the host went back across a restart; no datagram of before can be replayed any more.
    let new = sealed(&mut DatagramEncoder::new(key(), "entry-1", 8), "new");
    let mut opener = DatagramDecoder::new(key());
    assert!(opener.decode::<String>(&new, NOW).is_ok());
    let later = NOW.plus_ms(60_000);
    let old = DatagramEncoder::new(key(), "entry-1", 7).encode(&"old", later).unwrap();
    assert!(opener.decode::<String>(&old, later).is_ok());
    assert_eq!(opener.decode::<String>(&new, later).unwrap_err(), DatagramError::Stale);
}

#[test]
fn open_counter_far_back() {
    let mut sealer = DatagramEncoder::new(key(), "entry-1", 7);
    let datagrams: Vec<_> = (0..66).map(|_| sealed(&mut sealer, "body")).collect();
    let mut opener = DatagramDecoder::new(key());
    assert!(opener.decode::<String>(&datagrams[65], NOW).is_ok());
    assert!(opener.decode::<String>(&datagrams[2], NOW).is_ok());
    assert_eq!(opener.decode::<String>(&datagrams[1], NOW).unwrap_err(), DatagramError::Replayed);
}

#[test]
fn open_stale() {
    let datagram = sealed(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    for now in [NOW.plus_ms(30_001), NOW.minus_ms(30_001)] {
        let opened = DatagramDecoder::new(key()).decode::<String>(&datagram, now);
        assert_eq!(opened.unwrap_err(), DatagramError::Stale);
    }
}

#[test]
fn seal_too_long() {
    let body = "x".repeat(MAX_DATAGRAM_BYTES);
    let sealed = DatagramEncoder::new(key(), "entry-1", 7).encode(&body, NOW);
    assert!(matches!(sealed, Err(DatagramError::TooLong { .. })));
    let opened = DatagramDecoder::new(key()).decode::<String>(&[1; MAX_DATAGRAM_BYTES + 1], NOW);
    assert!(matches!(opened, Err(DatagramError::TooLong { .. })));
}
