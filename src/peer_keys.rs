//! Keys and certificates between the daemons: both sides show one signed by the deployment's own
//! authority, and a peer without is refused in the handshake.

use std::{fs, path::Path, sync::Arc, time::Duration};

use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::{RootCertStore, server::WebPkiClientVerifier};
use rustls_pki_types::{CertificateDer, PrivateKeyDer, pem::PemObject};

use crate::{error::StepError, settings::PeerSettings};

/// The name that every daemon's certificate carries: membership of the deployment is what is
/// checked, and the preface of a connection says which VM it is.
pub const PEER_SERVER_NAME: &str = "ryetide-peer";
/// The protocol name agreed in the handshake.
const PROTOCOL: &[u8] = b"ryetide/1";
/// A connection without a sign of life for this long is closed and opened anew. Peers count as
/// silent before that, so what was in flight has been given up by then.
const IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// The two sides' configurations.
pub struct PeerKeys {
    /// For connections that are accepted.
    pub server: quinn::ServerConfig,
    /// For connections that are opened.
    pub client: quinn::ClientConfig,
}

impl PeerKeys {
    /// Loads the keys that the settings name.
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
    transport.max_idle_timeout(Some(idle.expect("a time far under the library's greatest")));
    transport.max_concurrent_bidi_streams(0_u32.into());
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
