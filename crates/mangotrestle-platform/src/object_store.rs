//! Client of the object store, which holds immutable objects with a checksum.
//!
//! An object is written once under a name that is never reused, so a write whose answer was lost
//! can simply be repeated.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use tokio::time::{Instant, timeout};

use crate::backoff;
use crate::transport;

/// Path prefix of objects; the name of the object follows.
pub const OBJECTS_PATH: &str = "/objects/";
/// Name of the header with the CRC-32 checksum of the content, in hexadecimal.
pub const CHECKSUM_HEADER: &str = "x-content-crc32";

/// Error when reading, writing or deleting an object.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum ObjectError {
    /// there is no object {0}
    NotFound(String),
    /// the object store is unavailable
    Unavailable,
    /// object {name} is damaged: checksum {found:08x}, expected {expected:08x}
    Damaged {
        /// Name of the object.
        name: String,
        /// Checksum in the header of the answer.
        expected: u32,
        /// Checksum of the received content.
        found: u32,
    },
    /// the object store returned object {0} without a checksum
    NoChecksum(String),
    /// the object store refused the request for {name}: status {status}
    Refused {
        /// Name of the object.
        name: String,
        /// HTTP status code.
        status: u16,
    },
}

impl std::error::Error for ObjectError {}

/// Client of the object store.
#[derive(Clone)]
pub struct ObjectStore {
    transport: Arc<dyn transport::Transport>,
    deadline: Duration,
    try_timeout: Duration,
}

impl ObjectStore {
    /// Creates a client with a deadline of 20 s for a request and a timeout of 5 s for each
    /// attempt.
    #[must_use]
    pub fn new(transport: Arc<dyn transport::Transport>) -> Self {
        Self {
            transport,
            deadline: Duration::from_secs(20),
            try_timeout: Duration::from_secs(5),
        }
    }

    /// Creates a client for the service at an address.
    #[must_use]
    pub fn at(address: std::net::SocketAddr) -> Self {
        Self::new(Arc::new(transport::HttpTransport::new(address)))
    }

    /// Writes an object under a new name.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Unavailable`] if no attempt was answered before the deadline, or
    /// [`ObjectError::Refused`].
    pub async fn put(&self, name: &str, content: &Bytes) -> Result<(), ObjectError> {
        let checksum = format!("{:08x}", crc32fast::hash(content));
        let build_request = || {
            http::Request::put(format!("{OBJECTS_PATH}{name}"))
                .header(CHECKSUM_HEADER, &checksum)
                .body(content.clone())
        };
        let response = self.send(name, build_request).await?;
        check_status(name, &response)
    }

    /// Reads an object and verifies its checksum.
    ///
    /// # Errors
    ///
    /// [`ObjectError::NotFound`], [`ObjectError::Damaged`] if the content does not match its
    /// checksum, or another [`ObjectError`].
    pub async fn get(&self, name: &str) -> Result<Bytes, ObjectError> {
        let build_request =
            || http::Request::get(format!("{OBJECTS_PATH}{name}")).body(Bytes::new());
        let response = self.send(name, build_request).await?;
        check_status(name, &response)?;
        verify_checksum(name, &response)?;
        Ok(response.into_body())
    }

    /// Deletes an object; succeeds if the object does not exist.
    ///
    /// # Errors
    ///
    /// [`ObjectError::Unavailable`] if no attempt was answered before the deadline, or
    /// [`ObjectError::Refused`].
    pub async fn delete(&self, name: &str) -> Result<(), ObjectError> {
        let build_request =
            || http::Request::delete(format!("{OBJECTS_PATH}{name}")).body(Bytes::new());
        let response = self.send(name, build_request).await?;
        match check_status(name, &response) {
            Err(ObjectError::NotFound(_)) => Ok(()),
            other => other,
        }
    }

    async fn send(
        &self,
        name: &str,
        build_request: impl Fn() -> http::Result<http::Request<Bytes>>,
    ) -> Result<http::Response<Bytes>, ObjectError> {
        let deadline = Instant::now() + self.deadline;
        let mut backoff = backoff::Backoff::new(Duration::from_millis(50), Duration::from_secs(2));
        loop {
            let request = build_request().map_err(|_| ObjectError::Refused {
                name: name.to_owned(),
                status: 400,
            })?;
            let sent = timeout(self.try_timeout, self.transport.send(request)).await;
            if let Ok(Ok(response)) = sent
                && !response.status().is_server_error()
            {
                return Ok(response);
            }
            let delay = backoff.next_delay();
            if Instant::now() + delay >= deadline {
                return Err(ObjectError::Unavailable);
            }
            tokio::time::sleep(delay).await;
        }
    }
}

fn check_status(name: &str, response: &http::Response<Bytes>) -> Result<(), ObjectError> {
    let status = response.status();
    if status.is_success() {
        Ok(())
    } else if status == http::StatusCode::NOT_FOUND {
        Err(ObjectError::NotFound(name.to_owned()))
    } else {
        Err(ObjectError::Refused {
            name: name.to_owned(),
            status: status.as_u16(),
        })
    }
}

fn verify_checksum(name: &str, response: &http::Response<Bytes>) -> Result<(), ObjectError> {
    let header = response.headers().get(CHECKSUM_HEADER);
    let expected = header
        .and_then(|value| value.to_str().ok())
        .and_then(|text| u32::from_str_radix(text, 16).ok())
        .ok_or_else(|| ObjectError::NoChecksum(name.to_owned()))?;
    let found = crc32fast::hash(response.body());
    if found == expected {
        return Ok(());
    }
    Err(ObjectError::Damaged {
        name: name.to_owned(),
        expected,
        found,
    })
}
