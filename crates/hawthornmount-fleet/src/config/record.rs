//! The accepted configuration as the store holds it.

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

/// Size above which a record is compressed, in bytes.
const MAX_PLAIN: usize = 64 << 10;
/// Largest record after its decompression, in bytes.
const MAX_UNPACKED: u64 = 32 << 20;
/// First bytes of a compressed record.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];

/// Accepted configuration as the store holds it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// Id of the `apply` that wrote it.
    pub apply_id: Arc<str>,
    /// Ids of the `apply` runs before it, the latest first.
    #[serde(default)]
    pub history: Vec<Arc<str>>,
    /// Merged value.
    pub value: Value,
}

/// Why stored bytes are not a record.
#[derive(Debug, Display, Error)]
pub enum DecodeError {
    /// The bytes can't be decompressed within the bound.
    #[display("the stored configuration can't be unpacked: apply the folder again; cause={cause}")]
    Unpack {
        /// Message of the decompressor.
        cause: Arc<str>,
    },
    /// The text is not a record.
    #[display("the stored configuration has another form: apply the folder again; cause={cause}")]
    Form {
        /// Message of the reader.
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
        if text.len() <= MAX_PLAIN {
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
        let form = |error: serde_json::Error| DecodeError::Form { cause: error.to_string().into() };
        if !bytes.starts_with(&GZIP_MAGIC) {
            return serde_json::from_slice(bytes).map_err(form);
        }
        let mut text = Vec::new();
        let mut decoder = GzDecoder::new(bytes).take(MAX_UNPACKED);
        let unpacked = decoder.read_to_end(&mut text);
        unpacked.map_err(|error| DecodeError::Unpack { cause: error.to_string().into() })?;
        serde_json::from_slice(&text).map_err(form)
    }
}

/// Configuration with the revision at which it was accepted.
#[derive(Clone, Debug)]
pub struct Accepted {
    /// The revision.
    pub revision: Revision,
    /// Id of the `apply` that wrote it.
    pub apply_id: Arc<str>,
    /// The configuration.
    pub config: Arc<Config>,
    /// The record as the store holds it, for peers that ask.
    pub bytes: Bytes,
}

impl Accepted {
    /// Reads the record that was stored at `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid configuration.
    pub fn read(revision: Revision, bytes: Bytes) -> Result<Self, DecodeError> {
        let record = Record::decode(&bytes)?;
        let config = merge::from_value(record.value);
        let config = config.map_err(|source| DecodeError::Invalid { source })?;
        Ok(Self { revision, apply_id: record.apply_id, config: Arc::new(config), bytes })
    }
}
