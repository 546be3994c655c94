//! Parses the YAML settings of a gateway that runs without a platform.
//!
//! # Example
//!
//! ```
//! let text = "
//! name: e1
//! data-centre: rajkot-hall
//! callers: 127.0.0.1:8080
//! status: 127.0.0.1:8081
//! peers:
//!   address: 127.0.0.1:8082
//!   key: 6b2f7c1de8a0446f9f0e5d4c3b2a19087f6e5d4c3b2a1908a7b6c5d4e3f20110
//! routes: /etc/ryetide/routes.yaml
//! ";
//! let text = ryetide_gateway::gateway_text::GatewayText::parse(text).unwrap();
//! assert_eq!(text.settings.name.as_str(), "e1");
//! ```

use std::{net, path::PathBuf, str::FromStr, time::Duration};

use ryetide::log::LogFilter;
use ryetide_core::{
    machine_limits::MachineLimits,
    retry_budget::RetryRule,
    rollout_order::RolloutRule,
    scheduling_policy::{PolicySwitch, SchedulingPolicy},
    text::{self, ValidationErrors, ValueRange, YamlNode, YamlReader},
    units::{ByteSize, LinkRate},
};

use crate::ports::{GatewaySettings, PeerEntry, PeerSecret};

const ADDRESS: &str = "an IP number and port, such as 127.0.0.1:8080";
const SPAN_RANGE: ValueRange<Duration> =
    ValueRange { min: Duration::from_millis(100), max: Duration::from_secs(600) };
const SLACK_RANGE: ValueRange<u64> = ValueRange { min: 0, max: 1_000_000 };
const LINK_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 1_000_000 };
const MEGABYTE: u64 = 1_000_000;
const MEMORY_RANGE: ValueRange<u64> = ValueRange { min: 48, max: 1_000_000 };
const SOCKETS_RANGE: ValueRange<u64> = ValueRange { min: 64, max: 1_000_000 };
/// The speed of the slowest links that are usual between VMs of one data centre.
const DEFAULT_LINK: LinkRate = LinkRate(1_000);
/// Long enough for the longest answers to complete.
const DEFAULT_GRACE: Duration = Duration::from_secs(30);

/// The content of a settings text.
#[derive(Clone, Debug)]
pub struct GatewayText {
    /// The settings of the gateway.
    pub settings: GatewaySettings,
    /// The path of the routes file.
    pub routes: PathBuf,
    /// The other entry VMs.
    pub peers: Vec<PeerEntry>,
    /// The log filter.
    pub log: LogFilter,
}

impl GatewayText {
    /// Parses and validates a whole text.
    ///
    /// # Errors
    ///
    /// Returns every validation error, each with its path, the value found and the permitted
    /// values.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        text::read_text(text, read_root)
    }
}

/// A key of 32 bytes in hexadecimal.
struct KeyText(PeerSecret);

impl FromStr for KeyText {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        let mut secret = PeerSecret::default();
        if text.len() != secret.len() * 2 || !text.is_ascii() {
            return Err(());
        }
        for (index, byte) in secret.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| ())?;
        }
        Ok(Self(secret))
    }
}

/// The address for peers, and the known peers.
struct PeerText {
    address: net::SocketAddr,
    known: Vec<PeerEntry>,
}

fn read_root(reader: &mut YamlReader, root: YamlNode<'_>) -> Option<GatewayText> {
    const KEYS: [&str; 13] = [
        "name",
        "data-centre",
        "callers",
        "status",
        "peers",
        "grace",
        "retry",
        "rollout",
        "scheduling",
        "link",
        "machine",
        "routes",
        "log",
    ];
    if !reader.mapping(root, &KEYS) {
        return None;
    }
    let name = reader.required(root, "name", YamlReader::name);
    let data_centre = reader.required(root, "data-centre", YamlReader::name);
    let callers = reader.required(root, "callers", read_address);
    let status = reader.required(root, "status", read_address);
    let peers = reader.required(root, "peers", read_peers);
    let grace = reader
        .optional(root, "grace", DEFAULT_GRACE, |reader, value| reader.duration(value, SPAN_RANGE));
    let retry = reader.optional(root, "retry", RetryRule::default(), read_retry);
    let rollout = reader.optional(root, "rollout", RolloutRule::default(), read_rollout);
    let policy = reader.optional(root, "scheduling", SchedulingPolicy::default(), read_scheduling);
    let link = reader.optional(root, "link", DEFAULT_LINK, read_link);
    let machine = reader.optional(root, "machine", MachineLimits::default(), read_machine);
    let routes = reader.required(root, "routes", YamlReader::text);
    let log = reader.optional(root, "log", LogFilter::default(), |reader, value| {
        reader.parsed(value, LogFilter::PERMITTED)
    });
    let PeerText { address, known } = peers?;
    let settings = GatewaySettings {
        name: name?,
        data_centre: data_centre?,
        callers: callers?,
        status: status?,
        peers: address,
        grace: grace?,
        retry: retry?,
        rollout: rollout?,
        policy: policy?,
        link: link?,
        machine: machine?,
    };
    Some(GatewayText { settings, routes: routes?.into(), peers: known, log: log? })
}

fn read_address(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<net::SocketAddr> {
    reader.parsed(node, ADDRESS)
}

fn read_peers(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<PeerText> {
    reader.mapping(node, &["address", "key", "known"]);
    let address = reader.required(node, "address", read_address);
    let key: Option<KeyText> = reader.required(node, "key", |reader, value| {
        reader.parsed(value, "64 hexadecimal digits, the same on all entry VMs")
    });
    let secret = key?.0;
    let known = reader.optional(node, "known", Vec::new(), |reader, value| {
        reader.sequence(value, |reader, item| read_peer(reader, item, secret))
    });
    Some(PeerText { address: address?, known: known? })
}

fn read_peer(reader: &mut YamlReader, node: YamlNode<'_>, secret: PeerSecret) -> Option<PeerEntry> {
    reader.mapping(node, &["name", "data-centre", "address", "link"]);
    let name = reader.required(node, "name", YamlReader::name);
    let data_centre = reader.required(node, "data-centre", YamlReader::name);
    let address = reader.required(node, "address", read_address);
    let link = reader.optional(node, "link", DEFAULT_LINK, read_link)?;
    Some(PeerEntry {
        name: name?,
        data_centre: data_centre?,
        address: address?,
        secret,
        link,
        quarantines: Vec::new(),
        versions: Vec::new(),
    })
}

fn read_link(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<LinkRate> {
    reader.number(node, LINK_RANGE).and_then(|rate| u32::try_from(rate).ok()).map(LinkRate)
}

fn read_machine(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<MachineLimits> {
    reader.mapping(node, &["memory-mb", "sockets"]);
    let defaults = MachineLimits::default();
    let memory =
        reader.optional(node, "memory-mb", defaults.memory.0 / MEGABYTE, |reader, value| {
            reader.number(value, MEMORY_RANGE)
        });
    let sockets = reader.optional(node, "sockets", u64::from(defaults.sockets), |reader, value| {
        reader.number(value, SOCKETS_RANGE)
    });
    Some(MachineLimits {
        memory: ByteSize(memory? * MEGABYTE),
        sockets: u32::try_from(sockets?).ok()?,
    })
}

fn read_retry(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<RetryRule> {
    reader.mapping(node, &["part", "window", "slack"]);
    let defaults = RetryRule::default();
    let part = reader.optional(node, "part", defaults.share, YamlReader::fraction);
    let window = reader.optional(node, "window", defaults.window, |reader, value| {
        reader.duration(value, SPAN_RANGE)
    });
    let slack = reader.optional(node, "slack", defaults.slack as u64, |reader, value| {
        reader.number(value, SLACK_RANGE)
    });
    Some(RetryRule { share: part?, window: window?, slack: slack? as f64 })
}

fn read_rollout(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<RolloutRule> {
    reader.mapping(node, &["share", "slack", "by-order-only"]);
    let defaults = RolloutRule::default();
    let share = reader.optional(node, "share", defaults.share, YamlReader::fraction);
    let slack = reader.optional(node, "slack", defaults.slack as u64, |reader, value| {
        reader.number(value, SLACK_RANGE)
    });
    let by_order_only =
        reader.optional(node, "by-order-only", defaults.by_order_only, YamlReader::flag);
    Some(RolloutRule { share: share?, slack: slack? as f64, by_order_only: by_order_only? })
}

fn read_scheduling(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<SchedulingPolicy> {
    reader.mapping(node, &["ejection", "overflow", "return-times", "fair-shares"]);
    let mut switch = |key| {
        reader.optional(node, key, PolicySwitch::default(), |reader, value| {
            reader.parsed(value, PolicySwitch::PERMITTED)
        })
    };
    let (ejection, overflow) = (switch("ejection"), switch("overflow"));
    let (return_times, fair_shares) = (switch("return-times"), switch("fair-shares"));
    Some(SchedulingPolicy {
        ejection: ejection?,
        overflow: overflow?,
        return_times: return_times?,
        fair_shares: fair_shares?,
    })
}
