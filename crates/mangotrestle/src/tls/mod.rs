//! TLS for callers and operators, with certificates that are renewed while the process runs.
//!
//! [`Certificates`] holds the certificates in force. [`watch()`] checks the files at an interval
//! and uses renewed ones for new connections; if a renewal is unusable, it is logged and the old
//! certificates stay in force. [`TlsListener`] runs each handshake in a task of its own, so that a
//! slow client doesn't delay others.
//!
//! Files are compared by content rather than by modification time, so that a renewal is detected
//! even if it replaces a symbolic link or sets an old modification time. The files are small.

use std::fs;
use std::io::Read;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwap;
use displaydoc::Display;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use tokio::sync::watch;
use tokio_rustls::rustls;

mod listener;

pub use listener::TlsListener;

/// Maximum size of a certificate or key file.
pub const MAX_FILE_BYTES: u64 = 256 * 1024;

/// Application protocol of a connection, negotiated in the handshake (ALPN).
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1, for callers.
    Http1,
    /// HTTP/2, for operators' gRPC.
    Http2,
}

impl Protocol {
    const fn alpn_name(self) -> &'static [u8] {
        match self {
            Self::Http1 => b"http/1.1",
            Self::Http2 => b"h2",
        }
    }
}

/// Error of certificates that cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TlsError {
    /// {path}: cannot be read: {problem}
    Read {
        /// Path of the file.
        path: String,
        /// Error message of the operating system.
        problem: String,
    },
    /// {path}: has more than 262144 bytes
    TooLarge {
        /// Path of the file.
        path: String,
    },
    /// {path}: expected at least one certificate in PEM format
    Certificate {
        /// Path of the file.
        path: String,
    },
    /// {path}: expected one private key in PEM format
    Key {
        /// Path of the file.
        path: String,
    },
    /// {certificate} and {key} cannot be used together: {problem}
    Pair {
        /// Path of the certificate's file.
        certificate: String,
        /// Path of the key's file.
        key: String,
        /// Error message of the TLS library.
        problem: String,
    },
}

impl std::error::Error for TlsError {}

/// Paths of a certificate and its key.
#[derive(Clone, Debug)]
struct Paths {
    certificate: PathBuf,
    key: PathBuf,
}

/// Contents of the certificate file and the key file.
#[derive(Eq, PartialEq)]
struct Content {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

/// Result of checking the files for a renewal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reload {
    /// The files haven't changed since the last check.
    Unchanged,
    /// Renewed certificates are now in force.
    Renewed,
}

/// Certificates in force, with the files that they are reloaded from.
pub struct Certificates {
    paths: Paths,
    protocol: Protocol,
    current: ArcSwap<rustls::ServerConfig>,
    /// Content at the last check, whether it was usable or not.
    last_content: Mutex<Content>,
}

impl Certificates {
    /// Reads and checks a certificate chain and its key.
    ///
    /// # Errors
    ///
    /// [`TlsError`] with the file that cannot be used.
    pub fn load(certificate: &Path, key: &Path, protocol: Protocol) -> Result<Self, TlsError> {
        let paths = Paths {
            certificate: certificate.to_owned(),
            key: key.to_owned(),
        };
        let content = read_pair(&paths)?;
        let config = server_config(&paths, &content, protocol)?;
        Ok(Self {
            paths,
            protocol,
            current: ArcSwap::from_pointee(config),
            last_content: Mutex::new(content),
        })
    }

    /// Returns the TLS configuration for new connections.
    #[must_use]
    pub fn current(&self) -> Arc<rustls::ServerConfig> {
        self.current.load_full()
    }

    /// Checks the files, and puts renewed certificates into force.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if the files cannot be used; the old certificates stay in force. Unusable
    /// content is reported only once, until it changes again.
    pub fn reload(&self) -> Result<Reload, TlsError> {
        let content = read_pair(&self.paths)?;
        let mut last_content = self
            .last_content
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if *last_content == content {
            return Ok(Reload::Unchanged);
        }
        let config = server_config(&self.paths, &content, self.protocol);
        *last_content = content;
        self.current.store(Arc::new(config?));
        Ok(Reload::Renewed)
    }
}

/// Reloads the certificates at each interval until `shutdown` turns true; logs renewals, and each
/// error once.
pub async fn watch(
    certificates: Arc<Certificates>,
    interval: Duration,
    logger: slog::Logger,
    mut shutdown: watch::Receiver<bool>,
) {
    let mut last_problem = None;
    let mut ticks = tokio::time::interval(interval);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            _ = shutdown.wait_for(|stop| *stop) => return,
        }
        let path = certificates.paths.certificate.display().to_string();
        match certificates.reload() {
            Ok(Reload::Unchanged) => {}
            Ok(Reload::Renewed) => {
                last_problem = None;
                slog::info!(logger, "tls.renewed"; "certificate" => path);
            }
            Err(problem) => {
                if last_problem.as_ref() != Some(&problem) {
                    slog::error!(logger, "tls.renewal_failed"; "certificate" => path,
                        "error" => %problem);
                }
                last_problem = Some(problem);
            }
        }
    }
}

fn read_pair(paths: &Paths) -> Result<Content, TlsError> {
    Ok(Content {
        certificate: read_file(&paths.certificate)?,
        key: read_file(&paths.key)?,
    })
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    let read_error = |error: std::io::Error| TlsError::Read {
        path: path.display().to_string(),
        problem: error.to_string(),
    };
    let file = fs::File::open(path).map_err(read_error)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(read_error)?;
    if bytes.len() as u64 > MAX_FILE_BYTES {
        return Err(TlsError::TooLarge {
            path: path.display().to_string(),
        });
    }
    Ok(bytes)
}

fn server_config(
    paths: &Paths,
    content: &Content,
    protocol: Protocol,
) -> Result<rustls::ServerConfig, TlsError> {
    let certificate_path = paths.certificate.display().to_string();
    let key_path = paths.key.display().to_string();
    let chain: Vec<CertificateDer<'static>> = CertificateDer::pem_slice_iter(&content.certificate)
        .collect::<Result<_, _>>()
        .unwrap_or_default();
    if chain.is_empty() {
        return Err(TlsError::Certificate {
            path: certificate_path,
        });
    }
    let Ok(key) = PrivateKeyDer::from_pem_slice(&content.key) else {
        return Err(TlsError::Key { path: key_path });
    };
    let pair_error = |error: rustls::Error| TlsError::Pair {
        certificate: certificate_path.clone(),
        key: key_path.clone(),
        problem: error.to_string(),
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(pair_error)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(pair_error)?;
    config.alpn_protocols = vec![protocol.alpn_name().to_vec()];
    Ok(config)
}

#[cfg(test)]
mod tests;
