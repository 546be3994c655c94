//! TLS configuration for connections between daemons. Both sides present a certificate signed by the
//! deployment's authority; a peer without one is refused in the handshake.

use std::{fs, path::Path, sync::Arc, time::Duration};

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{RootCertStore, server::WebPkiClientVerifier};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::{error::StepError, settings::PeerSettings, tunnel_link};

/// The server name in every daemon's certificate. The certificate proves membership of the
/// deployment; the preface of a connection names the VM.
pub const PEER_SERVER_NAME: &str = "ryetide-peer";
/// The protocol name for ALPN.
const PROTOCOL: &[u8] = b"ryetide/1";
/// The idle time after which a connection is closed and reopened. A peer is considered silent before
/// that, so the requests in flight have been abandoned by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The QUIC configurations for both directions.
pub struct PeerKeys {
    /// The configuration for incoming connections.
    pub server: quinn::ServerConfig,
    /// The configuration for outgoing connections.
    pub client: quinn::ClientConfig,
}

impl PeerKeys {
    /// Loads the keys from the files in the settings.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the file at fault.
    pub fn load(settings: &PeerSettings) -> Result<Self, StepError> {
        let mut roots = RootCertStore::empty();
        for certificate in read_certificates(&settings.authority)? {
            roots.add(certificate).map_err(|error| {
                StepError::new("read authority", error).with_peer(settings.authority.display())
            })?;
        }
        let roots = Arc::new(roots);
        let chain = read_certificates(&settings.certificate)?;
        let key = PrivateKeyDer::from_pem_slice(&read(&settings.key)?)
            .map_err(|error| StepError::new("read key", error).with_peer(settings.key.display()))?;
        let transport = Arc::new(transport());
        let server = server_config(&roots, chain.clone(), key.clone_key(), &transport)?;
        let client = client_config(roots, chain, key, transport)?;
        Ok(Self { server, client })
    }
}

fn server_config(
    roots: &Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: &Arc<quinn::TransportConfig>,
) -> Result<quinn::ServerConfig, StepError> {
    let fault = |error: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new("configure accepting side", error)
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(Arc::clone(roots), provider.clone())
        .build()
        .map_err(|error| fault(error.into()))?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| fault(error.into()))?
        .with_client_cert_verifier(verifier)
        .with_single_cert(chain, key)
        .map_err(|error| fault(error.into()))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = QuicServerConfig::try_from(tls).map_err(|error| fault(error.into()))?;
    let mut server = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    server.transport_config(Arc::clone(transport));
    Ok(server)
}

fn client_config(
    roots: Arc<RootCertStore>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    transport: Arc<quinn::TransportConfig>,
) -> Result<quinn::ClientConfig, StepError> {
    let fault = |error: Box<dyn std::error::Error + Send + Sync>| {
        StepError::new("configure opening side", error)
    };
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .map_err(|error| fault(error.into()))?
        .with_root_certificates(roots)
        .with_client_auth_cert(chain, key)
        .map_err(|error| fault(error.into()))?;
    tls.alpn_protocols = vec![PROTOCOL.to_vec()];
    let crypto = QuicClientConfig::try_from(tls).map_err(|error| fault(error.into()))?;
    let mut client = quinn::ClientConfig::new(Arc::new(crypto));
    client.transport_config(transport);
    Ok(client)
}

fn transport() -> quinn::TransportConfig {
    let mut transport = quinn::TransportConfig::default();
    let idle = quinn::IdleTimeout::try_from(IDLE_TIMEOUT);
    transport.max_idle_timeout(Some(idle.expect("the timeout is below the library's maximum")));
    transport.max_concurrent_bidi_streams(tunnel_link::MAX_TUNNELS_PER_PEER.into());
    transport.max_concurrent_uni_streams(4_u32.into());
    transport.datagram_receive_buffer_size(None);
    transport
}

fn read(path: &Path) -> Result<Vec<u8>, StepError> {
    fs::read(path).map_err(|error| StepError::new("read file", error).with_peer(path.display()))
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, StepError> {
    let pem = read(path)?;
    let fault = |error| StepError::new("read certificate", error).with_peer(path.display());
    let certificates: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(&pem).collect();
    let certificates = certificates.map_err(|error| fault(error.to_string()))?;
    if certificates.is_empty() {
        return Err(fault("no certificate in the file".to_owned()));
    }
    Ok(certificates)
}
