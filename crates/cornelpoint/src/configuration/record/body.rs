use xxhash_rust::xxh3::xxh3_64;

use super::record_error::RecordError;
use super::record_error::decode;
use super::record_error::encode;
use crate::configuration::Configuration;
use crate::configuration::Generation;
use crate::platform::Row;

/// Decodes the configuration of a body row.
///
/// # Errors
///
/// If the row does not hold a configuration.
pub fn decode_body(row: &Row) -> Result<Configuration, RecordError> {
    decode(row)
}

/// Encodes a configuration as the value of a body row.
pub(crate) fn encode_body(configuration: &Configuration) -> Vec<u8> {
    encode(configuration)
}

/// Returns the hash of a configuration without its generation.
pub(crate) fn content_hash(configuration: &Configuration) -> u64 {
    let content = Configuration {
        generation: Generation::default(),
        ..configuration.clone()
    };
    xxh3_64(&encode(&content))
}
