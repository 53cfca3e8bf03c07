use cornelpoint::document::Document;
use cornelpoint::document::ObjectReader;
use cornelpoint::document::Source;
use cornelpoint::document::ValueReader;
use cornelpoint::finding::Findings;

use super::gateway_settings::GatewaySettings;
use super::limits::DEFAULT_MAX_DESCRIPTORS;
use super::limits::DEFAULT_MEMORY_MB;
use super::limits::DESCRIPTORS_RANGE;
use super::limits::MAX_TIMEOUT_MS;
use super::limits::MEMORY_RANGE_MB;
use super::limits::check_distinct;
use super::limits::check_not_empty;

impl TryFrom<Source<'_>> for GatewaySettings {
    type Error = Findings;

    /// Parses a gateway's settings, JSON with comments.
    fn try_from(source: Source<'_>) -> Result<Self, Findings> {
        Document::parse(source)?.read(read)
    }
}

fn read(reader: &mut ObjectReader<'_>) -> Option<GatewaySettings> {
    let instance = reader.name("instance");
    let availability_zone = reader.name("availability_zone");
    let listen = reader.address("listen");
    let control_listen = reader.address("control_listen");
    let keepers = reader.required("keepers").and_then(ValueReader::addresses);
    let platform = reader.address("platform");
    let metrics = reader.optional("metrics").and_then(ValueReader::address);
    let platform_timeout_ms = reader.integer_or("platform_timeout_ms", 10..=MAX_TIMEOUT_MS, 500);
    let keeper_timeout_ms = reader.integer_or("keeper_timeout_ms", 10..=MAX_TIMEOUT_MS, 300);
    let view_interval_ms = reader.integer_or("view_interval_ms", 10..=10_000, 200);
    let memory_mb = reader.integer_or("memory_mb", MEMORY_RANGE_MB, DEFAULT_MEMORY_MB);
    let max_descriptors = reader.integer_or(
        "max_descriptors",
        DESCRIPTORS_RANGE,
        DEFAULT_MAX_DESCRIPTORS,
    );
    let max_connections = reader.integer_u32_or("max_connections", 1..=65_535, 512);
    let max_header_bytes = reader.integer_u32_or("max_header_bytes", 1_024..=1_048_576, 16_384);
    let header_timeout_ms = reader.integer_or("header_timeout_ms", 100..=MAX_TIMEOUT_MS, 5_000);
    let body_timeout_ms = reader.integer_or("body_timeout_ms", 100..=MAX_TIMEOUT_MS, 20_000);
    let idle_timeout_ms = reader.integer_or("idle_timeout_ms", 100..=600_000, 60_000);
    let connect_timeout_ms = reader.integer_or("connect_timeout_ms", 10..=MAX_TIMEOUT_MS, 500);
    let max_idle_per_endpoint = reader.integer_u32_or("max_idle_per_endpoint", 0..=64, 4);
    let stop_notice_ms = reader.integer_or("stop_notice_ms", 0..=MAX_TIMEOUT_MS, 2_000);
    let stop_timeout_ms = reader.integer_or("stop_timeout_ms", 0..=3_600_000, 60_000);
    check_distinct(reader, "listen", "control_listen");
    check_not_empty(reader, "keepers");
    Some(GatewaySettings {
        instance: instance?,
        availability_zone: availability_zone?,
        listen: listen?,
        control_listen: control_listen?,
        keepers: keepers?,
        platform: platform?,
        metrics,
        platform_timeout_ms: platform_timeout_ms?,
        keeper_timeout_ms: keeper_timeout_ms?,
        view_interval_ms: view_interval_ms?,
        memory_mb: memory_mb?,
        max_descriptors: max_descriptors?,
        max_connections: max_connections?,
        max_header_bytes: max_header_bytes?,
        header_timeout_ms: header_timeout_ms?,
        body_timeout_ms: body_timeout_ms?,
        idle_timeout_ms: idle_timeout_ms?,
        connect_timeout_ms: connect_timeout_ms?,
        max_idle_per_endpoint: max_idle_per_endpoint?,
        stop_notice_ms: stop_notice_ms?,
        stop_timeout_ms: stop_timeout_ms?,
    })
}
