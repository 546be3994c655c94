//! The sockets of a daemon.

use std::{
    io,
    net::{SocketAddr, TcpListener, UdpSocket},
};

use socket2::{Domain, Protocol, Socket, Type};

use crate::{error::StepError, settings::DaemonSettings};

/// Connections of callers that wait to be accepted.
const CALLER_BACKLOG: i32 = 4_096;

/// The addresses to which a daemon's sockets are bound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DaemonAddresses {
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for operators.
    pub operators: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
}

/// The sockets of a daemon, bound before its threads start.
pub struct DaemonSockets {
    /// The HTTP listener for callers.
    pub callers: TcpListener,
    /// The HTTP listener for operators.
    pub operators: TcpListener,
    /// The QUIC socket for peers.
    pub peers: UdpSocket,
}

impl DaemonSockets {
    /// Binds the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] that names the address at fault.
    pub fn bind(settings: &DaemonSettings) -> Result<Self, StepError> {
        let fault =
            |step, address| move |error: io::Error| StepError::new(step, error).with_peer(address);
        let (callers, operators) = (settings.callers, settings.operators);
        let peers = settings.peers.address;
        Ok(Self {
            callers: bind_callers(callers).map_err(fault("bind callers", callers))?,
            operators: TcpListener::bind(operators).map_err(fault("bind operators", operators))?,
            peers: UdpSocket::bind(peers).map_err(fault("bind peers", peers))?,
        })
    }

    /// Returns the addresses to which the sockets are bound. They differ from the settings where
    /// those have port 0.
    ///
    /// # Errors
    ///
    /// Returns a [`StepError`] when an address cannot be read from its socket.
    pub fn addresses(&self) -> Result<DaemonAddresses, StepError> {
        let fault = |error: io::Error| StepError::new("read socket address", error);
        Ok(DaemonAddresses {
            callers: self.callers.local_addr().map_err(fault)?,
            operators: self.operators.local_addr().map_err(fault)?,
            peers: self.peers.local_addr().map_err(fault)?,
        })
    }
}

/// Binds the listener for callers. A longer queue than the standard library's is needed: a caller whose
/// connection does not fit into it connects again only after one, three and seven seconds.
fn bind_callers(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    // Connections of the process before, which are still closing, do not occupy the address.
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(CALLER_BACKLOG)?;
    Ok(socket.into())
}
