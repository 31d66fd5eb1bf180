//! Encoding of the accepted configuration in the store.

use {
    bytes::Bytes,
    derive_more::{Display, Error},
    flate2::{Compression, read::GzDecoder, write::GzEncoder},
    hawthornmount_core::{config::Config, id::Revision, merge},
    serde::{Deserialize, Serialize},
    serde_json::Value,
    std::{
        io::{Read, Write},
        sync::Arc,
    },
};

/// Largest record that is stored uncompressed.
const MAX_UNCOMPRESSED_BYTES: usize = 64 << 10;
/// Largest record after decompression; longer ones are truncated and fail to parse.
const MAX_DECOMPRESSED_BYTES: u64 = 32 << 20;
/// First bytes of gzip data, by which a compressed record is recognised.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Accepted configuration in the form that the store holds.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Id of the `apply` that wrote the record.
    pub apply_id: Arc<str>,
    /// Ids of the preceding `apply` runs, the latest first.
    #[serde(default)]
    pub history: Vec<Arc<str>>,
    /// Merged configuration value.
    pub value: Value,
}

/// Why stored bytes can't be decoded.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The bytes can't be decompressed.
    #[display(
        "the stored configuration can't be decompressed: apply the folder again; cause={cause}"
    )]
    Decompress {
        /// Message of the decoder.
        cause: Arc<str>,
    },
    /// The JSON text is not a record.
    #[display("the stored configuration is malformed: apply the folder again; cause={cause}")]
    Malformed {
        /// Message of the JSON parser.
        cause: Arc<str>,
    },
    /// The value is not a valid configuration for this version of the program.
    #[display("the stored configuration is not valid here: run one version of the program")]
    Invalid {
        /// Cause.
        source: merge::Error,
    },
}

impl Record {
    /// Encodes the record, compressed if it is large.
    pub fn encode(&self) -> Vec<u8> {
        let text = serde_json::to_vec(self).unwrap_or_default();
        if text.len() <= MAX_UNCOMPRESSED_BYTES {
            return text;
        }
        let mut encoder = GzEncoder::new(Vec::new(), Compression::best());
        let written = encoder.write_all(&text).and_then(|()| encoder.finish());
        written.unwrap_or(text)
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a record.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let malformed =
            |error: serde_json::Error| DecodeError::Malformed { cause: error.to_string().into() };
        if !bytes.starts_with(&GZIP_MAGIC) {
            return serde_json::from_slice(bytes).map_err(malformed);
        }
        let mut text = Vec::new();
        let mut decoder = GzDecoder::new(bytes).take(MAX_DECOMPRESSED_BYTES);
        let decompressed = decoder.read_to_end(&mut text);
        decompressed
            .map_err(|error| DecodeError::Decompress { cause: error.to_string().into() })?;
        serde_json::from_slice(&text).map_err(malformed)
    }
}

/// Decoded configuration with the revision at which it was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The revision.
    pub revision: Revision,
    /// Id of the `apply` that wrote the record.
    pub apply_id: Arc<str>,
    /// The configuration.
    pub config: Arc<Config>,
    /// The encoded record, which is sent to peers unchanged.
    pub bytes: Bytes,
}

impl Accepted {
    /// Decodes the record that was stored at `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid configuration.
    pub fn decode(revision: Revision, bytes: Bytes) -> Result<Self, DecodeError> {
        let record = Record::decode(&bytes)?;
        let config = merge::from_value(record.value);
        let config = config.map_err(|source| DecodeError::Invalid { source })?;
        Ok(Self { revision, apply_id: record.apply_id, config: Arc::new(config), bytes })
    }
}
