//! Compact encoding of lists in messages.
//!
//! The entries are sorted by name. Each name is encoded as the length of the prefix that it shares with the previous
//! one, and the rest. Times are encoded relative to the newest one, and a configuration only where it differs from the
//! previous one.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::cluster_state::encoded_bytes;
use crate::member::{Liveness, MemberRecord, Phase};
use crate::replica::ReplicaDigest;
use crate::{Reading, UnixMs};

/// Name encoded relative to the previous one in the list.
#[derive(Deserialize, Serialize)]
struct CompressedName {
    shared_prefix_bytes: u8,
    suffix: String,
}

/// Compresses and decompresses a list of names; holds the previous name.
#[derive(Default)]
struct NameCodec(String);

impl NameCodec {
    fn compress(&mut self, name: &str) -> CompressedName {
        let pairs = self.0.char_indices().zip(name.chars());
        let shared = pairs.take_while(|((_, before), next)| before == next);
        let shared = shared.map(|((start, character), _)| start + character.len_utf8()).last();
        let shared_prefix_bytes = u8::try_from(shared.unwrap_or_default()).unwrap_or_default();
        let suffix = name[usize::from(shared_prefix_bytes)..].to_string();
        self.0 = name.to_string();
        CompressedName { shared_prefix_bytes, suffix }
    }

    fn decompress(&mut self, compressed: &CompressedName) -> Option<String> {
        let shared = self.0.get(..usize::from(compressed.shared_prefix_bytes))?;
        self.0 = format!("{shared}{}", compressed.suffix);
        Some(self.0.clone())
    }
}

#[derive(Deserialize, Serialize)]
struct CompactReadings {
    newest_at: UnixMs,
    readings: Vec<CompactReading>,
}

#[derive(Deserialize, Serialize)]
struct CompactReading {
    name: CompressedName,
    age_ms: u64,
    uptime_ms: u64,
    slots: u32,
    running: u32,
    waiting: u32,
    pending_tokens: u64,
    tokens_per_s: f32,
}

/// Encoded size of load readings in a message.
pub(super) fn readings_bytes(readings: &[Reading]) -> usize {
    #[derive(Serialize)]
    struct Compact<'a>(#[serde(serialize_with = "readings::serialize")] &'a [Reading]);
    encoded_bytes(&Compact(readings))
}

/// Encoded size of member records in a message.
pub(super) fn records_bytes(records: &[MemberRecord]) -> usize {
    #[derive(Serialize)]
    struct Compact<'a>(#[serde(serialize_with = "records::serialize")] &'a [MemberRecord]);
    encoded_bytes(&Compact(records))
}

/// Compact encoding of load readings.
pub(super) mod readings {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(
        readings: &[Reading],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let newest_at = readings.iter().map(|reading| reading.measured_at).max();
        let newest_at = newest_at.unwrap_or_default();
        let mut sorted: Vec<&Reading> = readings.iter().collect();
        sorted.sort_unstable_by(|a, b| a.server.cmp(&b.server));
        let mut names = NameCodec::default();
        let readings = sorted.into_iter().map(|reading| CompactReading {
            name: names.compress(&reading.server),
            age_ms: newest_at.since_ms(reading.measured_at),
            uptime_ms: newest_at.0.wrapping_sub(reading.started_at.0),
            slots: reading.slots,
            running: reading.running,
            waiting: reading.waiting,
            pending_tokens: reading.pending_tokens,
            tokens_per_s: reading.tokens_per_s as f32,
        });
        CompactReadings { newest_at, readings: readings.collect() }.serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<Reading>, D::Error> {
        let CompactReadings { newest_at, readings } = CompactReadings::deserialize(deserializer)?;
        let mut names = NameCodec::default();
        let expand = |compact: CompactReading| {
            Some(Reading {
                server: names.decompress(&compact.name)?,
                measured_at: newest_at.minus_ms(compact.age_ms),
                started_at: UnixMs(newest_at.0.wrapping_sub(compact.uptime_ms)),
                slots: compact.slots,
                running: compact.running,
                waiting: compact.waiting,
                pending_tokens: compact.pending_tokens,
                tokens_per_s: f64::from(compact.tokens_per_s),
            })
        };
        let expanded: Option<Vec<Reading>> = readings.into_iter().map(expand).collect();
        expanded.ok_or_else(|| D::Error::custom("shared prefix is longer than the previous name"))
    }
}

#[derive(Deserialize, Serialize)]
struct CompactRecord {
    name: CompressedName,
    address: std::net::SocketAddr,
    incarnation: u64,
    heartbeat: u64,
    phase: Phase,
    liveness: Liveness,
    changed_configuration: Option<ReplicaDigest>,
}

/// Compact encoding of member records.
pub(super) mod records {
    use super::*;

    pub(crate) fn serialize<S: Serializer>(
        records: &[MemberRecord],
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let mut sorted: Vec<&MemberRecord> = records.iter().collect();
        sorted.sort_unstable_by(|a, b| a.host.cmp(&b.host));
        let mut names = NameCodec::default();
        let mut configuration = ReplicaDigest::default();
        let compact = sorted.into_iter().map(|record| {
            let is_changed = record.configuration != configuration;
            configuration = record.configuration;
            CompactRecord {
                name: names.compress(&record.host),
                address: record.address,
                incarnation: record.incarnation,
                heartbeat: record.heartbeat,
                phase: record.phase,
                liveness: record.liveness,
                changed_configuration: is_changed.then_some(configuration),
            }
        });
        compact.collect::<Vec<CompactRecord>>().serialize(serializer)
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<MemberRecord>, D::Error> {
        let mut names = NameCodec::default();
        let mut configuration = ReplicaDigest::default();
        let expand = |compact: CompactRecord| {
            configuration = compact.changed_configuration.unwrap_or(configuration);
            Some(MemberRecord {
                host: names.decompress(&compact.name)?,
                address: compact.address,
                incarnation: compact.incarnation,
                heartbeat: compact.heartbeat,
                phase: compact.phase,
                liveness: compact.liveness,
                configuration,
            })
        };
        let compact = Vec::<CompactRecord>::deserialize(deserializer)?;
        let expanded: Option<Vec<MemberRecord>> = compact.into_iter().map(expand).collect();
        expanded.ok_or_else(|| D::Error::custom("shared prefix is longer than the previous name"))
    }
}
