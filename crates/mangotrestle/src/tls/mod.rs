//! TLS for callers and operators, with certificates that are renewed while the process runs.
//!
//! [`Certificates`] holds what is in force; [`watch()`] looks at the files from time to time and
//! takes renewed ones into use for new connections. A renewal that cannot be used keeps the old
//! certificates and is logged. [`TlsListener`] does the handshakes beside the accept loop, so that
//! a slow peer holds up nobody else.
//!
//! Files are compared by content rather than by modification time: a renewal that replaces a
//! symbolic link or restores an old time is seen as well, and the files are small.

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

/// Greatest size of a certificate or key file, in bytes.
pub const MAX_FILE_BYTES: u64 = 256 * 1024;

/// What a connection speaks after the handshake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Protocol {
    /// HTTP/1.1, for callers.
    Http1,
    /// HTTP/2, for operators' gRPC.
    Http2,
}

impl Protocol {
    const fn name(self) -> &'static [u8] {
        match self {
            Self::Http1 => b"http/1.1",
            Self::Http2 => b"h2",
        }
    }
}

/// Why certificates cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TlsError {
    /// {path}: cannot be read: {problem}
    Read {
        /// The file.
        path: String,
        /// What the system says.
        problem: String,
    },
    /// {path}: has more than 262144 bytes
    TooLarge {
        /// The file.
        path: String,
    },
    /// {path}: expected at least one certificate in PEM form
    Certificate {
        /// The file.
        path: String,
    },
    /// {path}: expected one private key in PEM form
    Key {
        /// The file.
        path: String,
    },
    /// {certificate} and {key} cannot be used together: {problem}
    Pair {
        /// The file of the certificate.
        certificate: String,
        /// The file of the key.
        key: String,
        /// What the TLS library says.
        problem: String,
    },
}

impl std::error::Error for TlsError {}

/// Where certificate and key are.
#[derive(Clone, Debug)]
struct Paths {
    certificate: PathBuf,
    key: PathBuf,
}

/// The bytes of both files.
#[derive(Eq, PartialEq)]
struct Content {
    certificate: Vec<u8>,
    key: Vec<u8>,
}

/// Whether a look at the files changed anything.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reload {
    /// The files are as at the last look.
    Unchanged,
    /// Renewed certificates are in force.
    Renewed,
}

/// The certificates in force.
pub struct Certificates {
    paths: Paths,
    protocol: Protocol,
    current: ArcSwap<rustls::ServerConfig>,
    /// What was read last, whether it could be used or not.
    last: Mutex<Content>,
}

impl Certificates {
    /// Reads and checks certificate chain and key.
    ///
    /// # Errors
    ///
    /// [`TlsError`] with the file at fault.
    pub fn load(certificate: &Path, key: &Path, protocol: Protocol) -> Result<Self, TlsError> {
        let paths = Paths {
            certificate: certificate.to_owned(),
            key: key.to_owned(),
        };
        let content = read(&paths)?;
        let config = server_config(&paths, &content, protocol)?;
        Ok(Self {
            paths,
            protocol,
            current: ArcSwap::from_pointee(config),
            last: Mutex::new(content),
        })
    }

    /// What new connections use.
    #[must_use]
    pub fn current(&self) -> Arc<rustls::ServerConfig> {
        self.current.load_full()
    }

    /// Looks at the files, and takes renewed certificates into use.
    ///
    /// # Errors
    ///
    /// [`TlsError`] if the files cannot be used; the old certificates stay in force. Files that
    /// could not be used are reported once, until they change again.
    pub fn reload(&self) -> Result<Reload, TlsError> {
        let content = read(&self.paths)?;
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        if *last == content {
            return Ok(Reload::Unchanged);
        }
        let config = server_config(&self.paths, &content, self.protocol);
        *last = content;
        self.current.store(Arc::new(config?));
        Ok(Reload::Renewed)
    }
}

/// Looks at the files at each interval until `shutdown` turns true.
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

fn read(paths: &Paths) -> Result<Content, TlsError> {
    Ok(Content {
        certificate: read_file(&paths.certificate)?,
        key: read_file(&paths.key)?,
    })
}

fn read_file(path: &Path) -> Result<Vec<u8>, TlsError> {
    let explain = |error: std::io::Error| TlsError::Read {
        path: path.display().to_string(),
        problem: error.to_string(),
    };
    let file = fs::File::open(path).map_err(explain)?;
    let mut bytes = Vec::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_end(&mut bytes)
        .map_err(explain)?;
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
    let pair = |error: rustls::Error| TlsError::Pair {
        certificate: certificate_path.clone(),
        key: key_path.clone(),
        problem: error.to_string(),
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = rustls::ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(pair)?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .map_err(pair)?;
    config.alpn_protocols = vec![protocol.name().to_vec()];
    Ok(config)
}

#[cfg(test)]
mod tests;
