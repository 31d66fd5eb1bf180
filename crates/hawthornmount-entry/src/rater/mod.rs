//! Client of the service that rates the quality of answers.

use {
    async_trait::async_trait,
    hawthornmount_http::client::Client,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Rates the quality of answers.
#[async_trait]
pub trait Rater: Send + Sync {
    /// Returns the quality of `answer` from 0 to 1, or `None` if there is no valid rating within
    /// `timeout`.
    async fn rate(&self, answer: &str, timeout: Duration) -> Option<f64>;
}

/// Rating service that is called over HTTP.
pub struct Remote {
    client: Client,
    address: SocketAddr,
}

#[derive(Serialize)]
struct Request<'a> {
    answer: &'a str,
}

#[derive(Deserialize)]
struct Response {
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
        let request = Request { answer };
        let response: Result<Response, _> =
            self.client.post(self.address, "/rate", &request, timeout).await;
        match response {
            Ok(response) if (0.0..=1.0).contains(&response.rating) => Some(response.rating),
            Ok(_) => None,
            Err(error) => {
                log::debug!("the rating service gave no rating; cause={error}");
                None
            }
        }
    }
}

/// Gives no ratings; used if the settings name no rating service.
pub struct Disabled;

#[async_trait]
impl Rater for Disabled {
    async fn rate(&self, _answer: &str, _timeout: Duration) -> Option<f64> {
        None
    }
}
