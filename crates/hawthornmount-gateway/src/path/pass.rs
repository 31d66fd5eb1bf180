//! Mark of a request that an instance passes to another one, and of the answers to it.

use {
    crate::message::Digest,
    derive_more::{Display, Error},
    hawthornmount_core::id::{InstanceId, RequestId},
    hawthornmount_fleet::wire::{Keyring, Reject},
    http::{HeaderMap, HeaderName, HeaderValue, Method, Uri},
    serde::{Deserialize, Serialize},
};

/// Header with the mark.
pub const PASS: HeaderName = HeaderName::from_static("hawthornmount-pass");
/// Header of a refusal by the other instance: whether the request may have run.
pub const RAN: HeaderName = HeaderName::from_static("hawthornmount-ran");
/// Header of a refusal by an instance that reaches no server itself.
pub const NO_PATH: HeaderName = HeaderName::from_static("hawthornmount-no-path");
/// Header of a passed request: number of servers to which the other instance may send it.
pub const ATTEMPTS: HeaderName = HeaderName::from_static("hawthornmount-attempts");
/// Values of [`RAN`].
pub const RAN_NO: &str = "no";
/// The request may have run.
pub const RAN_UNKNOWN: &str = "unknown";

/// Largest mark, in bytes.
const MAX_BYTES: usize = 1_024;

/// What a mark states.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Pass {
    /// Instance that passes the request on.
    pub from: InstanceId,
    /// Instance that the request is meant for.
    pub to: InstanceId,
    /// Id of the request.
    pub request: RequestId,
    /// Digest of method and target.
    pub head: Digest,
}

/// Why a mark is not accepted.
#[derive(Clone, Debug, Display, Error, Eq, PartialEq)]
pub enum Invalid {
    /// There is no mark.
    #[display("no mark")]
    Missing,
    /// The mark is not hexadecimal.
    #[display("not hexadecimal")]
    Text,
    /// The mark is not authentic, or malformed.
    #[display("{_0}")]
    Frame(#[error(not(source))] Reject),
    /// The mark belongs to another request or instance.
    #[display("of another request or instance")]
    Other,
}

impl Pass {
    /// Encodes the mark with the secret of the instance that it is meant for.
    pub fn seal(&self, secret: &str) -> HeaderValue {
        let frame = Keyring::new(secret).seal(self);
        let text: String = frame.iter().map(|byte| format!("{byte:02x}")).collect();
        HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static(""))
    }

    /// Removes the mark of a request to the instance `to`, and checks it with the secret of that
    /// instance.
    ///
    /// # Errors
    ///
    /// Returns the reason if there is no mark of this request.
    pub fn take(
        headers: &mut HeaderMap,
        secret: &str,
        to: &str,
        request: &str,
        head: Digest,
    ) -> Result<Self, Invalid> {
        let value = headers.remove(PASS).ok_or(Invalid::Missing)?;
        let frame = decode_hex(value.as_bytes()).ok_or(Invalid::Text)?;
        let pass: Self = Keyring::new(secret).open(&frame, MAX_BYTES).map_err(Invalid::Frame)?;
        let is_same = *pass.to == *to && *pass.request == *request && pass.head == head;
        if is_same { Ok(pass) } else { Err(Invalid::Other) }
    }
}

/// Removes the number of servers to which a passed request may be sent; `None` if none is stated.
pub fn take_attempts(headers: &mut HeaderMap) -> Option<u32> {
    headers.remove(ATTEMPTS)?.to_str().ok()?.parse().ok()
}

/// Returns the digest of the method and the target of a request.
pub fn digest(method: &Method, target: &Uri) -> Digest {
    let target = target.path_and_query().map_or("/", |target| target.as_str());
    let mut hasher = blake3::Hasher::new();
    hasher.update(method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(target.as_bytes());
    let mut digest = [0; size_of::<Digest>()];
    hasher.finalize_xof().fill(&mut digest);
    Digest::from_le_bytes(digest)
}

fn decode_hex(text: &[u8]) -> Option<Vec<u8>> {
    let digit = |byte: u8| char::from(byte).to_digit(16).and_then(|digit| u8::try_from(digit).ok());
    let pairs = text.chunks(2);
    pairs.map(|pair| Some(digit(*pair.first()?)? << 4 | digit(*pair.get(1)?)?)).collect()
}
