//! Invalid datagrams (truncated, changed, forged, replayed, stale or too long) must be rejected with the right error.

use godwit_core::UnixMs;
use godwit_peer::{DatagramDecoder, DatagramEncoder, DatagramError, MAX_DATAGRAM_BYTES, PeerKey};

const NOW: UnixMs = UnixMs(1_000_000);

fn key() -> PeerKey {
    PeerKey::new(b"the shared key of the tests")
}

fn encoded(encoder: &mut DatagramEncoder, body: &str) -> Vec<u8> {
    encoder.encode(&body, NOW).unwrap()
}

#[test]
fn decode_own_datagram() {
    let datagram = encoded(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    let (header, body) = DatagramDecoder::new(key()).decode::<String>(&datagram, NOW).unwrap();
    assert_eq!((header.incarnation, header.counter, body.as_str()), (7, 1, "body"));
}

#[test]
fn decode_every_truncation() {
    let datagram = encoded(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    for length in 0..datagram.len() {
        let error =
            DatagramDecoder::new(key()).decode::<String>(&datagram[..length], NOW).unwrap_err();
        let is_expected =
            matches!(error, DatagramError::Truncated { .. } | DatagramError::InvalidMac);
        assert!(is_expected, "{length} bytes: {error}");
    }
}

#[test]
fn decode_every_flipped_bit() {
    let datagram = encoded(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
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
fn decode_wrong_key() {
    let datagram =
        encoded(&mut DatagramEncoder::new(PeerKey::new(b"another"), "entry-1", 7), "body");
    let decoded = DatagramDecoder::new(key()).decode::<String>(&datagram, NOW);
    assert_eq!(decoded.unwrap_err(), DatagramError::InvalidMac);
}

#[test]
fn decode_authentic_malformed_body() {
    let datagram = DatagramEncoder::new(key(), "entry-1", 7).encode(&(1u8, 2u8, 3u8), NOW).unwrap();
    let decoded = DatagramDecoder::new(key()).decode::<u8>(&datagram, NOW);
    assert_eq!(decoded.unwrap_err(), DatagramError::Malformed);
}

#[test]
fn decode_replayed() {
    let mut encoder = DatagramEncoder::new(key(), "entry-1", 7);
    let first = encoded(&mut encoder, "first");
    let second = encoded(&mut encoder, "second");
    let mut decoder = DatagramDecoder::new(key());
    // A datagram out of order is no replay; the same datagram a second time is.
    assert!(decoder.decode::<String>(&second, NOW).is_ok());
    assert!(decoder.decode::<String>(&first, NOW).is_ok());
    for datagram in [first, second] {
        assert_eq!(decoder.decode::<String>(&datagram, NOW).unwrap_err(), DatagramError::Replayed);
    }
}

#[test]
fn decode_older_incarnation() {
    let old = encoded(&mut DatagramEncoder::new(key(), "entry-1", 7), "old");
    let new = encoded(&mut DatagramEncoder::new(key(), "entry-1", 8), "new");
    let mut decoder = DatagramDecoder::new(key());
    assert!(decoder.decode::<String>(&new, NOW).is_ok());
    assert_eq!(decoder.decode::<String>(&old, NOW).unwrap_err(), DatagramError::Replayed);
}

#[test]
fn decode_older_incarnation_after_silence() {
    // The clock of the host went back across a restart, and no earlier datagram can be replayed any more.
    let new = encoded(&mut DatagramEncoder::new(key(), "entry-1", 8), "new");
    let mut decoder = DatagramDecoder::new(key());
    assert!(decoder.decode::<String>(&new, NOW).is_ok());
    let later = NOW.plus_ms(60_000);
    let old = DatagramEncoder::new(key(), "entry-1", 7).encode(&"old", later).unwrap();
    assert!(decoder.decode::<String>(&old, later).is_ok());
    assert_eq!(decoder.decode::<String>(&new, later).unwrap_err(), DatagramError::Stale);
}

#[test]
fn decode_counter_outside_window() {
    let mut encoder = DatagramEncoder::new(key(), "entry-1", 7);
    let datagrams: Vec<_> = (0..66).map(|_| encoded(&mut encoder, "body")).collect();
    let mut decoder = DatagramDecoder::new(key());
    assert!(decoder.decode::<String>(&datagrams[65], NOW).is_ok());
    assert!(decoder.decode::<String>(&datagrams[2], NOW).is_ok());
    assert_eq!(decoder.decode::<String>(&datagrams[1], NOW).unwrap_err(), DatagramError::Replayed);
}

#[test]
fn decode_stale() {
    let datagram = encoded(&mut DatagramEncoder::new(key(), "entry-1", 7), "body");
    for now in [NOW.plus_ms(30_001), NOW.minus_ms(30_001)] {
        let decoded = DatagramDecoder::new(key()).decode::<String>(&datagram, now);
        assert_eq!(decoded.unwrap_err(), DatagramError::Stale);
    }
}

#[test]
fn encode_and_decode_too_long() {
    let body = "x".repeat(MAX_DATAGRAM_BYTES);
    let encoded = DatagramEncoder::new(key(), "entry-1", 7).encode(&body, NOW);
    assert!(matches!(encoded, Err(DatagramError::TooLong { .. })));
    let decoded = DatagramDecoder::new(key()).decode::<String>(&[1; MAX_DATAGRAM_BYTES + 1], NOW);
    assert!(matches!(decoded, Err(DatagramError::TooLong { .. })));
}
