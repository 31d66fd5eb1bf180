//! The service that rates answers.

use {
    async_trait::async_trait,
    hawthornmount_http::client::Client,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Rates answers.
#[async_trait]
pub trait Rater: Send + Sync {
    /// Returns how good an answer is, from 0 to 1; nothing if no rating comes in time.
    async fn rate(&self, answer: &str, timeout: Duration) -> Option<f64>;
}

/// Rating service over HTTP.
pub struct Remote {
    client: Client,
    address: SocketAddr,
}

#[derive(Serialize)]
struct Question<'a> {
    answer: &'a str,
}

#[derive(Deserialize)]
struct Verdict {
    rating: f64,
}

impl Remote {
    /// Creates a client of the service at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { client: Client::new(), address }
    }
}

#[async_trait]
impl Rater for Remote {
    async fn rate(&self, answer: &str, timeout: Duration) -> Option<f64> {
        let question = Question { answer };
        let verdict: Result<Verdict, _> =
            self.client.post(self.address, "/rate", &question, timeout).await;
        match verdict {
            Ok(verdict) if (0.0..=1.0).contains(&verdict.rating) => Some(verdict.rating),
            Ok(_) => None,
            Err(error) => {
                log::debug!("an answer stays unrated; cause={error}");
                None
            }
        }
    }
}

/// Rating service that gives no ratings, where none is set.
pub struct Disabled;

#[async_trait]
impl Rater for Disabled {
    async fn rate(&self, _answer: &str, _timeout: Duration) -> Option<f64> {
        None
    }
}
