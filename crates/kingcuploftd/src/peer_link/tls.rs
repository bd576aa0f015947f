//! Mutual TLS of the peer links, with key files that may be rotated while the daemon runs.
//!
//! Each VM's certificate is signed by the fleet's certificate authority and names the VM's IP address. The files are
//! checked when a link opens, at most once a second. Files that cannot be read are reported in the log, and the last
//! valid ones stay in use, so that a failed rotation does not cut the links.

use std::net::IpAddr;
use std::path::Path;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime};

use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use tokio::net::TcpStream;
use tokio_rustls::rustls::crypto::ring;
use tokio_rustls::rustls::server::WebPkiClientVerifier;
use tokio_rustls::rustls::{ClientConfig, RootCertStore, ServerConfig};
use tokio_rustls::{TlsAcceptor, TlsConnector, client, server};

use super::settings::TlsFiles;

/// The shortest time between two checks of the files.
const FILE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// The keys of this VM's links.
#[derive(Debug)]
pub(super) struct Tls {
    files: TlsFiles,
    loaded: Mutex<LoadedKeys>,
}

#[derive(Clone, Debug)]
struct LoadedKeys {
    client: Arc<ClientConfig>,
    server: Arc<ServerConfig>,
    modified_at: [Option<SystemTime>; 3],
    checked_at: Instant,
}

impl Tls {
    /// Reads the files.
    pub(super) fn new(files: TlsFiles) -> Result<Self, String> {
        let loaded = load(&files)?;
        Ok(Self {
            files,
            loaded: Mutex::new(loaded),
        })
    }

    /// Opens TLS towards a VM at this address.
    pub(super) async fn connect(
        &self,
        address: IpAddr,
        stream: TcpStream,
    ) -> Result<client::TlsStream<TcpStream>, String> {
        let connector = TlsConnector::from(self.current().client);
        let name = ServerName::IpAddress(address.into());
        let stream = connector.connect(name, stream).await;
        stream.map_err(|error| error.to_string())
    }

    /// Opens TLS towards a VM that connected.
    pub(super) async fn accept(
        &self,
        stream: TcpStream,
    ) -> Result<server::TlsStream<TcpStream>, String> {
        let acceptor = TlsAcceptor::from(self.current().server);
        let stream = acceptor.accept(stream).await;
        stream.map_err(|error| error.to_string())
    }

    /// Returns the keys, after reading them again if the files changed.
    fn current(&self) -> LoadedKeys {
        let mut loaded = self.loaded.lock().unwrap_or_else(PoisonError::into_inner);
        if loaded.checked_at.elapsed() < FILE_CHECK_INTERVAL {
            return loaded.clone();
        }
        loaded.checked_at = Instant::now();
        if loaded.modified_at != modified_at(&self.files) {
            match load(&self.files) {
                Ok(fresh) => {
                    tracing::info!("peer: reloaded the TLS files.");
                    *loaded = fresh;
                }
                Err(why) => tracing::error!("peer: cannot read the TLS files: {why}."),
            }
        }
        loaded.clone()
    }
}

fn modified_at(files: &TlsFiles) -> [Option<SystemTime>; 3] {
    [&files.certificate, &files.key, &files.ca].map(|path| {
        let data = std::fs::metadata(path).ok()?;
        data.modified().ok()
    })
}

fn load(files: &TlsFiles) -> Result<LoadedKeys, String> {
    let modified_at = modified_at(files);
    let mut roots = RootCertStore::empty();
    for certificate in certificates(&files.ca)? {
        let added = roots.add(certificate);
        added.map_err(|error| format!("{}: {error}", files.ca.display()))?;
    }
    let chain = certificates(&files.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&files.key);
    let key = key.map_err(|error| format!("{}: {error}", files.key.display()))?;
    let provider = Arc::new(ring::default_provider());
    let roots = Arc::new(roots);
    let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone());
    let verifier = verifier.build().map_err(|error| error.to_string())?;
    let server = ServerConfig::builder_with_provider(provider.clone())
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            let builder = builder.with_client_cert_verifier(verifier);
            builder.with_single_cert(chain.clone(), key.clone_key())
        });
    let client = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .and_then(|builder| {
            let builder = builder.with_root_certificates(roots);
            builder.with_client_auth_cert(chain, key)
        });
    Ok(LoadedKeys {
        client: Arc::new(client.map_err(|error| error.to_string())?),
        server: Arc::new(server.map_err(|error| error.to_string())?),
        modified_at,
        checked_at: Instant::now(),
    })
}

fn certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, String> {
    let in_file = |error| format!("{}: {error}", path.display());
    let read = CertificateDer::pem_file_iter(path).map_err(in_file)?;
    let read: Vec<_> = read.collect::<Result<_, _>>().map_err(in_file)?;
    match read.is_empty() {
        true => Err(format!("{}: no certificate found", path.display())),
        false => Ok(read),
    }
}
