//! Reasons of refusals and of retries. Each appears as a metric label, in a log field and in a row
//! of `docs/operators/reasons.md`, with the same stable text in all three.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
};

macro_rules! reasons {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(rename_all = "snake_case")]
        pub enum $name {
            $($(#[$doc])* #[display($text)] $variant,)+
        }

        impl $name {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the stable text of the reason.
            pub const fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

reasons! {
    /// Reason why a request got no answer from a backend server.
    Refusal {
        /// The request is not valid HTTP for this interface, or its body is not valid JSON.
        Malformed = "malformed",
        /// The body is larger than the limit.
        BodyTooLarge = "body_too_large",
        /// The caller took too long to send its request.
        CallerTimeout = "caller_timeout",
        /// The request has no key, or a key that belongs to no account.
        BadKey = "bad_key",
        /// The path or method does not exist.
        NotFound = "not_found",
        /// The model or service does not exist, or the account may not use it.
        NotAllowed = "not_allowed",
        /// Every version that the account may use is withdrawn or suspended.
        NoVersion = "no_version",
        /// No server of the allowed versions, or of the service, accepts the request.
        NoServer = "no_server",
        /// The instance reaches no server of the service, and no other instance takes the request.
        NoPath = "no_path",
        /// No server in the regions in which the request may be served accepts requests.
        RegionUnavailable = "region_unavailable",
        /// Too many requests of the account wait while the fleet is at capacity.
        OverShare = "over_share",
        /// The fleet is at capacity.
        Overloaded = "overloaded",
        /// The instance has no memory left for the body.
        NoRoom = "no_room",
        /// The deadline can't be met.
        Deadline = "deadline",
        /// The service requires an `Idempotency-Key` header.
        KeyRequired = "key_required",
        /// The idempotency key was used with another service, method, path or body.
        KeyConflict = "key_conflict",
        /// The first call with this idempotency key is still running.
        KeyRunning = "key_running",
        /// The first call with this idempotency key ended with an unknown outcome.
        KeyUnknown = "key_unknown",
        /// The store is unreachable, so that a call can't be claimed, a usage record can't be
        /// written or the configuration can't be confirmed as current.
        StoreUnavailable = "store_unavailable",
        /// Too many usage records wait for the store.
        UsageBacklog = "usage_backlog",
        /// The instance has no configuration yet.
        NotReady = "not_ready",
        /// The instance is stopping.
        Stopping = "stopping",
        /// The server failed, and the request may not be repeated or was sent as often as allowed.
        ServerFailed = "server_failed",
        /// The server's answer was incomplete or belonged to another request.
        BadAnswer = "bad_answer",
        /// Servers end when they begin to answer requests with a part of this prompt.
        Quarantined = "quarantined",
        /// The session's version was withdrawn and no other version is available.
        SessionLost = "session_lost",
        /// An internal error of the router.
        Internal = "internal",
    }
}

reasons! {
    /// Reason why a request was sent again.
    Retry {
        /// The connection to the server could not be established.
        Connect = "connect",
        /// The server refused the request before running it.
        ServerRefused = "server_refused",
        /// The rate limit of the server had no room for the request.
        RateLimited = "rate_limited",
        /// Another instance, to which the request was passed, did not forward it.
        NeighbourDeclined = "neighbour_declined",
        /// The server may not take the request any more, because of a change since it was chosen.
        Withheld = "withheld",
        /// The server failed on a request that may be repeated.
        ServerError = "server_error",
        /// The server timed out on a request that may be repeated.
        ServerTimeout = "server_timeout",
        /// The answer was truncated before any of it had been sent to the caller, or was a stream
        /// that may be resumed.
        CutAnswer = "cut_answer",
        /// The answer belonged to another request.
        CrossedAnswer = "crossed_answer",
        /// The answer was rated below the quality target, so a costlier model was tried.
        Escalation = "escalation",
        /// A second copy of the request was sent because the first was slow.
        Hedge = "hedge",
    }
}
