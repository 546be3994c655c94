//! Generation of a deployment's keys: a certificate authority, and a certificate for the daemons.
//!
//! Daemons accept only peers with a certificate that the deployment's authority has signed. The
//! authority's key is not stored: new certificates need a new authority, and both are distributed to
//! all entry VMs together.

use std::{fs, path::Path};

use crate::{error::StepError, peer_keys::PEER_SERVER_NAME};
use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// Writes `authority.pem`, `peer.pem` and `peer.key` into `directory`.
///
/// # Errors
///
/// Returns a [`StepError`] when a key cannot be generated or a file cannot be written.
pub fn write_keys(directory: &Path) -> Result<(), StepError> {
    let fault = |error: rcgen::Error| StepError::new("make keys", error);
    let authority_key = KeyPair::generate().map_err(fault)?;
    let mut authority = CertificateParams::new(Vec::new()).map_err(fault)?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_certificate = authority.self_signed(&authority_key).map_err(fault)?;
    let issuer = Issuer::new(authority, authority_key);
    let peer_key = KeyPair::generate().map_err(fault)?;
    let peer = CertificateParams::new(vec![PEER_SERVER_NAME.to_owned()]).map_err(fault)?;
    let peer_certificate = peer.signed_by(&peer_key, &issuer).map_err(fault)?;
    let write = |name: &str, text: String| {
        let path = directory.join(name);
        fs::write(&path, text)
            .map_err(|error| StepError::new("write key", error).with_peer(path.display()))
    };
    write("authority.pem", authority_certificate.pem())?;
    write("peer.pem", peer_certificate.pem())?;
    write("peer.key", peer_key.serialize_pem())
}
