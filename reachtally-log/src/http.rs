//! HTTP adapters for the log and the live list.

use std::time::Duration;

use reachtally_core::event::{BoxStatus, Peer};
use reqwest::{Client, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::{AppendError, LiveList, Log, Page, Unavailable};

/// Timeout of an append or a list read. A log read gets this on top of the requested wait.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Response body of an append.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub struct Appended {
    /// The offset assigned to the record.
    pub offset: u64,
}

/// A box on the live list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedBox {
    /// The box's name.
    pub name: String,
    /// Whether the box is leaving the fleet.
    pub leaving: bool,
    /// Failure domain and peer address; only set for an entry box.
    #[serde(default)]
    pub peer: Option<ListedPeer>,
}

/// Failure domain and peer address of an entry box on the live list.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ListedPeer {
    /// The failure domain of the box.
    pub domain: String,
    /// The address at which other daemons reach the box.
    pub address: String,
}

/// Client for the platform's services over HTTP.
#[derive(Debug, Clone)]
pub struct HttpPlatform {
    client: Client,
    log_url: String,
    list_url: String,
}

impl HttpPlatform {
    /// Creates a client for the log and the live list at these base URLs.
    ///
    /// # Errors
    /// An error of `reqwest` if the HTTP client can't be built.
    pub fn new(log_url: &str, list_url: &str) -> Result<Self, reqwest::Error> {
        let client = Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .no_proxy()
            .build()?;
        Ok(HttpPlatform {
            client,
            log_url: log_url.to_owned(),
            list_url: list_url.to_owned(),
        })
    }
}

impl Log for HttpPlatform {
    async fn append(&self, stream: &str, data: Value) -> Result<u64, AppendError> {
        let url = format!("{}/streams/{stream}", self.log_url);
        let req = self.client.post(url).json(&data).timeout(TIMEOUT);
        let response = req.send().await.map_err(|err| match err.is_connect() {
            true => AppendError::Refused,
            false => AppendError::Lost,
        })?;
        match response.status() {
            StatusCode::OK => match response.json::<Appended>().await {
                Ok(appended) => Ok(appended.offset),
                Err(_) => Err(AppendError::Lost),
            },
            StatusCode::TOO_MANY_REQUESTS => Err(AppendError::Refused),
            _ => Err(AppendError::Lost),
        }
    }

    async fn read(&self, stream: &str, from: u64, wait_ms: u64) -> Result<Page, Unavailable> {
        let url = format!(
            "{}/streams/{stream}?from={from}&wait_ms={wait_ms}",
            self.log_url
        );
        let timeout = TIMEOUT + Duration::from_millis(wait_ms);
        let req = self.client.get(url).timeout(timeout);
        let response = req.send().await.map_err(|_| Unavailable)?;
        if !response.status().is_success() {
            return Err(Unavailable);
        }
        response.json().await.map_err(|_| Unavailable)
    }
}

impl LiveList for HttpPlatform {
    async fn boxes(&self) -> Result<Vec<BoxStatus>, Unavailable> {
        let url = format!("{}/boxes", self.list_url);
        let response = self.client.get(url).timeout(TIMEOUT).send().await;
        let response = response.map_err(|_| Unavailable)?;
        if !response.status().is_success() {
            return Err(Unavailable);
        }
        let boxes: Vec<ListedBox> = response.json().await.map_err(|_| Unavailable)?;
        Ok(boxes.into_iter().map(box_status).collect())
    }
}

fn box_status(listed: ListedBox) -> BoxStatus {
    BoxStatus {
        name: listed.name,
        leaving: listed.leaving,
        peer: listed.peer.map(|peer| Peer {
            domain: peer.domain,
            address: peer.address,
        }),
    }
}
