//! Access control of an entry host: operators' tokens, and TLS for operators and callers.
//!
//! [`Access::load`] reads and checks all files that the settings name, so that an invalid file is
//! detected at start rather than at the first request. After that, [`Access::watch`] puts renewed
//! files into force; if one is unusable, that is logged and the old content stays in force.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use mangotrestle_operator::auth;
use mangotrestle_operator::backend::OperatorBackend;
use mangotrestle_operator::server;
use tokio::net;
use tokio::sync::watch;
use tokio_stream::wrappers;

use crate::settings;
use crate::tls;
use crate::tokens;

/// Failure of the server for operators.
#[derive(Debug, Display)]
pub enum ServeError {
    /// the listener for operators failed: {0}
    Listen(std::io::Error),
    /// the server for operators failed: {0}
    Serve(tonic::transport::Error),
}

impl std::error::Error for ServeError {}

/// Tokens and certificates in force.
pub struct Access {
    token_file: Option<PathBuf>,
    authentication: watch::Sender<auth::Authentication>,
    operator_certificates: Option<Arc<tls::Certificates>>,
    caller_certificates: Option<Arc<tls::Certificates>>,
    reload_interval: Duration,
}

impl Access {
    /// Reads and checks the files that the settings name.
    ///
    /// # Errors
    ///
    /// A fault for each file that cannot be used, with the name of its setting.
    pub fn load(settings: &settings::Settings) -> Result<Self, settings::InvalidSettings> {
        let mut faults = Vec::new();
        let authentication =
            load_authentication(settings.operator_token_file.as_deref(), &mut faults);
        let operator_certificates = load_certificates(
            "operator_tls_certificate",
            settings.operator_tls_certificate.as_deref(),
            settings.operator_tls_key.as_deref(),
            tls::Protocol::Http2,
            &mut faults,
        );
        let caller_certificates = load_certificates(
            "caller_tls_certificate",
            settings.caller_tls_certificate.as_deref(),
            settings.caller_tls_key.as_deref(),
            tls::Protocol::Http1,
            &mut faults,
        );
        if !faults.is_empty() {
            return Err(settings::InvalidSettings { faults });
        }
        Ok(Self {
            token_file: settings.operator_token_file.clone(),
            authentication: watch::Sender::new(authentication),
            operator_certificates,
            caller_certificates,
            reload_interval: settings.tls_reload_interval_ms.as_duration(),
        })
    }

    /// Returns the certificates for callers' connections; `None` if callers connect without TLS.
    #[must_use]
    pub fn caller_certificates(&self) -> Option<Arc<tls::Certificates>> {
        self.caller_certificates.clone()
    }

    /// Serves operators until `shutdown` turns true.
    ///
    /// # Errors
    ///
    /// If the listener or the server fails.
    pub async fn serve_operators<B: OperatorBackend>(
        &self,
        listener: net::TcpListener,
        backend: Arc<B>,
        shutdown: watch::Receiver<bool>,
    ) -> Result<(), ServeError> {
        let tokens = self.authentication.subscribe();
        let result = if let Some(certificates) = &self.operator_certificates {
            let incoming = tls::TlsListener::start(listener, Arc::clone(certificates))
                .map_err(ServeError::Listen)?;
            server::OperatorServer::serve_incoming(incoming, backend, tokens, shutdown).await
        } else {
            let incoming = wrappers::TcpListenerStream::new(listener);
            server::OperatorServer::serve_incoming(incoming, backend, tokens, shutdown).await
        };
        result.map_err(ServeError::Serve)
    }

    /// Checks the files for renewals and puts renewed ones into force until `shutdown` turns true.
    pub async fn watch(&self, logger: &slog::Logger, shutdown: watch::Receiver<bool>) {
        tokio::join!(
            self.watch_tokens(logger, shutdown.clone()),
            self.watch_certificates(self.operator_certificates.as_ref(), logger, &shutdown),
            self.watch_certificates(self.caller_certificates.as_ref(), logger, &shutdown),
        );
    }

    async fn watch_certificates(
        &self,
        certificates: Option<&Arc<tls::Certificates>>,
        logger: &slog::Logger,
        shutdown: &watch::Receiver<bool>,
    ) {
        if let Some(certificates) = certificates {
            let certificates = Arc::clone(certificates);
            tls::watch(
                certificates,
                self.reload_interval,
                logger.clone(),
                shutdown.clone(),
            )
            .await;
        }
    }

    async fn watch_tokens(&self, logger: &slog::Logger, mut shutdown: watch::Receiver<bool>) {
        let Some(path) = &self.token_file else {
            return;
        };
        let mut last_result = None;
        let mut ticks = tokio::time::interval(self.reload_interval);
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                _ = shutdown.wait_for(|stop| *stop) => return,
            }
            let read_result = tokens::read(path);
            if last_result.as_ref() == Some(&read_result) {
                continue;
            }
            last_result = Some(read_result.clone());
            match read_result.and_then(|text| tokens::parse(&text)) {
                Ok(authentication) => {
                    if self.replace_tokens(authentication) {
                        slog::info!(logger, "tokens.renewed"; "file" => %path.display());
                    }
                }
                Err(problem) => {
                    slog::error!(logger, "tokens.renewal_failed";
                        "file" => %path.display(), "error" => %problem);
                }
            }
        }
    }

    /// Puts tokens into force; returns whether they differ from the previous ones.
    fn replace_tokens(&self, authentication: auth::Authentication) -> bool {
        self.authentication.send_if_modified(|current| {
            let differs = *current != authentication;
            *current = authentication;
            differs
        })
    }
}

fn load_authentication(
    path: Option<&Path>,
    faults: &mut Vec<settings::Fault>,
) -> auth::Authentication {
    let Some(path) = path else {
        return auth::Authentication::Open;
    };
    match tokens::load(path) {
        Ok(authentication) => authentication,
        Err(problem) => {
            faults.push(file_fault(
                "operator_token_file",
                path,
                &problem.to_string(),
            ));
            auth::Authentication::Open
        }
    }
}

fn load_certificates(
    setting: &str,
    certificate: Option<&Path>,
    key: Option<&Path>,
    protocol: tls::Protocol,
    faults: &mut Vec<settings::Fault>,
) -> Option<Arc<tls::Certificates>> {
    let (certificate, key) = (certificate?, key?);
    match tls::Certificates::load(certificate, key, protocol) {
        Ok(certificates) => Some(Arc::new(certificates)),
        Err(problem) => {
            faults.push(file_fault(setting, certificate, &problem.to_string()));
            None
        }
    }
}

fn file_fault(setting: &str, path: &Path, problem: &str) -> settings::Fault {
    settings::Fault {
        setting: setting.to_owned(),
        given: Some(path.display().to_string()),
        source: settings::Source::Content,
        expected: format!("a usable file ({problem})"),
    }
}
