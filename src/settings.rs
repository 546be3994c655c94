//! The settings of one daemon: its identity, its addresses, and the addresses of the platform.
//!
//! # Example
//!
//! ```
//! let settings = ryetide::settings::DaemonSettings::parse(
//!     "
//! name: e1
//! data-centre: rajkot-hall
//! callers: 127.0.0.1:8080
//! operators: 127.0.0.1:8081
//! peers:
//!   address: 127.0.0.1:8082
//!   authority: /etc/ryetide/authority.pem
//!   certificate: /etc/ryetide/e1.pem
//!   key: /etc/ryetide/e1.key
//! platform:
//!   table: 127.0.0.1:9000
//!   list: 127.0.0.1:9001
//! ",
//! )
//! .unwrap();
//! assert_eq!(settings.name.as_str(), "e1");
//! ```

use std::{net, path::PathBuf, time::Duration};

use ryetide_core::{
    entry::ConfiguredPeer,
    ids::{DataCentreName, VmName},
    machine_limits::MachineLimits,
    text::{self, ValidationErrors, ValueRange, YamlNode, YamlReader},
    units::ByteSize,
};

use crate::log::LogFilter;

const ADDRESS: &str = "an IP number and port, such as 127.0.0.1:8080";
const BODY_RANGE: ValueRange<u64> = ValueRange { min: 1_024, max: 64 << 20 };
const MEGABYTE: u64 = 1_000_000;
const MEMORY_RANGE: ValueRange<u64> = ValueRange { min: 48, max: 1_000_000 };
const TIMEOUT_RANGE: ValueRange<Duration> =
    ValueRange { min: Duration::from_millis(100), max: Duration::from_secs(120) };
const DEFAULT_BODY_LIMIT: u64 = 8 << 20;
const DEFAULT_BODY_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_ANSWER_BUFFER: u64 = 4 << 20;

/// The address and keys for connections to peers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerSettings {
    /// The UDP address for connections to peers.
    pub address: net::SocketAddr,
    /// The certificate of the deployment's authority, a PEM file.
    pub authority: PathBuf,
    /// This daemon's certificate, signed by that authority, a PEM file.
    pub certificate: PathBuf,
    /// The certificate's private key, a PEM file.
    pub key: PathBuf,
    /// The peers to connect to while the platform's list cannot be read.
    pub known: Vec<ConfiguredPeer>,
}

/// The addresses of the platform's services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PlatformSettings {
    /// The address of the table service.
    pub table: net::SocketAddr,
    /// The address of the list of VMs.
    pub list: net::SocketAddr,
}

/// The limits for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The maximum size of a request body.
    pub body: ByteSize,
    /// The time within which a body must arrive.
    pub body_timeout: Duration,
    /// The maximum size of the unread part of an answer.
    pub answer_buffer: ByteSize,
    /// The memory of the machine, of which all bodies together get a share.
    pub memory: ByteSize,
}

/// The settings of one daemon.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonSettings {
    /// The VM's name, as in the platform's list.
    pub name: VmName,
    /// The VM's data centre.
    pub data_centre: DataCentreName,
    /// The address on which callers connect.
    pub callers: net::SocketAddr,
    /// The address on which operators connect.
    pub operators: net::SocketAddr,
    /// The connections to peers.
    pub peers: PeerSettings,
    /// The platform's services.
    pub platform: PlatformSettings,
    /// The address to which statsd metrics are sent, if any.
    pub metrics: Option<net::SocketAddr>,
    /// The limits for callers.
    pub limits: CallerLimits,
    /// The log filter.
    pub log: LogFilter,
}

impl DaemonSettings {
    /// Parses and validates the settings.
    ///
    /// # Errors
    ///
    /// Returns all errors, each with its position, the value found and the permitted values.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        text::read_text(text, read_settings)
    }
}

fn read_settings(reader: &mut YamlReader, root: YamlNode<'_>) -> Option<DaemonSettings> {
    const KEYS: [&str; 9] = [
        "name",
        "data-centre",
        "callers",
        "operators",
        "peers",
        "platform",
        "metrics",
        "limits",
        "log",
    ];
    if !reader.mapping(root, &KEYS) {
        return None;
    }
    let name = reader.required(root, "name", YamlReader::name);
    let data_centre = reader.required(root, "data-centre", YamlReader::name);
    let callers = reader.required(root, "callers", read_address);
    let operators = reader.required(root, "operators", read_address);
    if let (Some(callers), Some(operators)) = (callers, operators)
        && callers == operators
        && callers.port() != 0
    {
        let place = root.get("operators").unwrap_or(root);
        reader.record_error(place, operators.to_string(), "an address apart from the callers'");
    }
    let peers = reader.required(root, "peers", read_peers);
    let platform = reader.required(root, "platform", read_platform);
    let metrics = reader
        .optional(root, "metrics", None, |reader, value| read_address(reader, value).map(Some));
    let limits = reader.optional(root, "limits", default_limits(), read_limits);
    let log = reader.optional(root, "log", LogFilter::default(), |reader, value| {
        reader.parsed(value, LogFilter::PERMITTED)
    });
    Some(DaemonSettings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        operators: operators?,
        peers: peers?,
        platform: platform?,
        metrics: metrics?,
        limits: limits?,
        log: log?,
    })
}

fn read_address(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<net::SocketAddr> {
    reader.parsed(node, ADDRESS)
}

fn read_peers(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<PeerSettings> {
    reader.mapping(node, &["address", "authority", "certificate", "key", "known"]);
    let address = reader.required(node, "address", read_address);
    let authority = reader.required(node, "authority", YamlReader::text);
    let certificate = reader.required(node, "certificate", YamlReader::text);
    let key = reader.required(node, "key", YamlReader::text);
    let known = reader.optional(node, "known", Vec::new(), |reader, value| {
        reader.sequence(value, read_known_peer)
    });
    Some(PeerSettings {
        address: address?,
        authority: authority?.into(),
        certificate: certificate?.into(),
        key: key?.into(),
        known: known?,
    })
}

fn read_known_peer(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<ConfiguredPeer> {
    reader.mapping(node, &["name", "data-centre", "address"]);
    let name = reader.required(node, "name", YamlReader::name);
    let data_centre = reader.required(node, "data-centre", YamlReader::name);
    let address = reader.required(node, "address", read_address);
    Some(ConfiguredPeer { name: name?, data_centre: data_centre?, address: address? })
}

fn read_platform(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<PlatformSettings> {
    reader.mapping(node, &["table", "list"]);
    let table = reader.required(node, "table", read_address);
    let list = reader.required(node, "list", read_address);
    Some(PlatformSettings { table: table?, list: list? })
}

/// Returns the limits that apply when the settings have none.
pub fn default_limits() -> CallerLimits {
    CallerLimits {
        body: ByteSize(DEFAULT_BODY_LIMIT),
        body_timeout: DEFAULT_BODY_TIMEOUT,
        answer_buffer: ByteSize(DEFAULT_ANSWER_BUFFER),
        memory: MachineLimits::default().memory,
    }
}

fn read_limits(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<CallerLimits> {
    reader.mapping(node, &["body", "body-timeout", "answer-buffer", "memory-mb"]);
    let defaults = default_limits();
    let mut size = |key: &str, default: ByteSize| {
        reader.optional(node, key, default.0, |reader, value| reader.number(value, BODY_RANGE))
    };
    let body = size("body", defaults.body);
    let answer_buffer = size("answer-buffer", defaults.answer_buffer);
    let body_timeout =
        reader.optional(node, "body-timeout", defaults.body_timeout, |reader, value| {
            reader.duration(value, TIMEOUT_RANGE)
        });
    let memory =
        reader.optional(node, "memory-mb", defaults.memory.0 / MEGABYTE, |reader, value| {
            reader.number(value, MEMORY_RANGE)
        });
    Some(CallerLimits {
        memory: ByteSize(memory? * MEGABYTE),
        body: ByteSize(body?),
        body_timeout: body_timeout?,
        answer_buffer: ByteSize(answer_buffer?),
    })
}
