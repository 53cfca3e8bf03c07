use cornelpoint::document::Document;
use cornelpoint::document::ObjectReader;
use cornelpoint::document::Source;
use cornelpoint::document::ValueReader;
use cornelpoint::finding::Findings;

use super::keeper_settings::KeeperSettings;
use super::limits::DEFAULT_MAX_DESCRIPTORS;
use super::limits::DEFAULT_MAX_MESSAGE_BYTES;
use super::limits::DEFAULT_MEMORY_MB;
use super::limits::DESCRIPTORS_RANGE;
use super::limits::MAX_TIMEOUT_MS;
use super::limits::MEMORY_RANGE_MB;
use super::limits::MESSAGE_RANGE_BYTES;

impl TryFrom<Source<'_>> for KeeperSettings {
    type Error = Findings;

    /// Parses a keeper's settings, JSON with comments.
    fn try_from(source: Source<'_>) -> Result<Self, Findings> {
        Document::parse(source)?.read(read)
    }
}

fn read(reader: &mut ObjectReader<'_>) -> Option<KeeperSettings> {
    let instance = reader.name("instance");
    let availability_zone = reader.name("availability_zone");
    let workspace = reader.name("workspace");
    let listen = reader.address("listen");
    let gossip_listen = reader.address("gossip_listen");
    let seeds = match reader.optional("seeds") {
        Some(value) => value.addresses(),
        None => Some(Vec::new()),
    };
    let platform = reader.address("platform");
    let metrics = reader.optional("metrics").and_then(ValueReader::address);
    let platform_timeout_ms = reader.integer_or("platform_timeout_ms", 10..=MAX_TIMEOUT_MS, 500);
    let platform_poll_ms = reader.integer_or("platform_poll_ms", 50..=10_000, 500);
    let sync_interval_ms = reader.integer_or("sync_interval_ms", 50..=10_000, 500);
    let slot_lease_ms = reader.integer_or("slot_lease_ms", 100..=2_000, 900);
    let memory_mb = reader.integer_or("memory_mb", MEMORY_RANGE_MB, DEFAULT_MEMORY_MB);
    let max_descriptors = reader.integer_or(
        "max_descriptors",
        DESCRIPTORS_RANGE,
        DEFAULT_MAX_DESCRIPTORS,
    );
    let control_connections = reader.integer_u32_or("control_connections", 8..=4096, 256);
    let max_message_bytes = reader.integer_or(
        "max_message_bytes",
        MESSAGE_RANGE_BYTES,
        DEFAULT_MAX_MESSAGE_BYTES,
    );
    Some(KeeperSettings {
        instance: instance?,
        availability_zone: availability_zone?,
        workspace: workspace?,
        listen: listen?,
        gossip_listen: gossip_listen?,
        seeds: seeds?,
        platform: platform?,
        metrics,
        platform_timeout_ms: platform_timeout_ms?,
        platform_poll_ms: platform_poll_ms?,
        sync_interval_ms: sync_interval_ms?,
        slot_lease_ms: slot_lease_ms?,
        memory_mb: memory_mb?,
        max_descriptors: max_descriptors?,
        control_connections: usize::try_from(control_connections?).ok()?,
        max_message_bytes: max_message_bytes?,
    })
}
