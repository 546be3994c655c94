//! The routes text: the configuration of a gateway that runs without a platform.
//!
//! # Example
//!
//! ```
//! let text = "
//! revision: 1
//! services:
//!   - name: desk
//!     targets:
//!       - {name: desk-1, data-centre: rajkot-hall, address: '10.1.0.11:9000', slots: 6}
//! routes:
//!   - name: orders
//!     host: desk.example
//!     prefix: /orders/
//!     kind: once
//!     timeout: 2s
//!     objective: 150ms
//!     services: [{name: desk}]
//! ";
//! let text = ryetide_core::route_text::RouteText::parse(text).unwrap();
//! assert_eq!(text.targets.len(), 1);
//! assert!(text.table.find("desk.example", "/orders/17", None).is_ok());
//! ```

use std::{net, time::Duration};

use crate::{
    health_path::HealthPath,
    ids::{OrganisationName, ServiceName, TargetIncarnation, VersionName},
    quota::{QuotaRule, QuotaUnit},
    rollout_order::{OrderNumber, RolloutOrder},
    route::{
        EngineProfile, RequestLimits, RouteKind, RouteOrganisation, RouteRule, RouteTable,
        RouteTableBuilder, RoutedService, ServiceShare,
    },
    target_load::TargetEntry,
    text::{self, ValidationErrors, ValueRange, YamlNode, YamlReader},
    units::{ByteSize, Revision, TierRank, Tokens},
};

const REVISION_RANGE: ValueRange<u64> = ValueRange { min: 1, max: u64::MAX };
const TIER_RANGE: ValueRange<u64> = ValueRange { min: 0, max: 7 };
const SLOT_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 4_096 };
const CONNECTION_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 1_000_000 };
const ATTEMPT_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 16 };
const WEIGHT_RANGE: ValueRange<u64> = ValueRange { min: 0, max: 1_000_000 };
const TOKEN_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 1 << 40 };
const BODY_RANGE: ValueRange<u64> = ValueRange { min: 1_024, max: 64 << 20 };
const DURATION_RANGE: ValueRange<Duration> =
    ValueRange { min: Duration::from_millis(1), max: Duration::from_secs(3_600) };
const ROLLOUT_RANGE: ValueRange<Duration> =
    ValueRange { min: Duration::from_secs(5), max: Duration::from_secs(86_400) };
const DEFAULT_CONNECTIONS: u64 = 256;

/// A validated routes text.
#[derive(Clone, Debug)]
pub struct RouteText {
    /// The routes, services and organisations.
    pub table: RouteTable,
    /// The targets of the services.
    pub targets: Vec<TargetEntry>,
    /// Orders to roll out new versions of services.
    pub orders: Vec<RolloutOrder>,
}

impl RouteText {
    /// Parses and validates a routes text.
    ///
    /// # Errors
    ///
    /// Returns every validation error, each with its position, the value found and what is
    /// permitted.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        text::read_text(text, read_root)
    }
}

fn read_root(reader: &mut YamlReader, root: YamlNode<'_>) -> Option<RouteText> {
    if !reader
        .mapping(root, &["revision", "organisations", "services", "routes", "rollouts", "limits"])
    {
        return None;
    }
    let revision =
        reader.required(root, "revision", |reader, node| reader.number(node, REVISION_RANGE));
    let organisations = reader.optional(root, "organisations", Vec::new(), |reader, node| {
        reader.sequence(node, read_organisation)
    });
    let services =
        reader.required(root, "services", |reader, node| reader.sequence(node, read_service))?;
    let names: Vec<ServiceName> =
        services.iter().map(|(service, _)| service.name.clone()).collect();
    let routes = reader.required(root, "routes", |reader, node| {
        reader.sequence(node, |reader, item| read_route(reader, item, &names))
    });
    let orders = reader.optional(root, "rollouts", Vec::new(), |reader, node| {
        reader.sequence(node, |reader, item| read_order(reader, item, &names))
    });
    let request_limits =
        reader.optional(root, "limits", RequestLimits::default(), read_request_limits);
    let mut builder = RouteTable::builder(Revision(revision?)).request_limits(request_limits?);
    builder = organisations?.into_iter().fold(builder, RouteTableBuilder::organisation);
    builder = routes?.into_iter().fold(builder, RouteTableBuilder::route);
    let mut targets = Vec::new();
    for (service, entries) in services {
        builder = builder.service(service);
        targets.extend(entries);
    }
    Some(RouteText { table: builder.build(), targets, orders: orders? })
}

fn read_order(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
    services: &[ServiceName],
) -> Option<RolloutOrder> {
    reader.mapping(node, &["service", "to", "within", "number"]);
    let service = reader.required(node, "service", |reader, value| {
        let name: ServiceName = reader.name(value)?;
        let is_declared = services.contains(&name);
        if !is_declared {
            reader.record_error(value, name.to_string(), "the name of one of the services");
        }
        is_declared.then_some(name)
    });
    let to = reader.required(node, "to", YamlReader::name);
    let duration =
        reader.required(node, "within", |reader, value| reader.duration(value, ROLLOUT_RANGE));
    let number =
        reader.required(node, "number", |reader, value| reader.number(value, REVISION_RANGE));
    Some(RolloutOrder {
        service: service?,
        to: to?,
        duration: duration?,
        number: OrderNumber(number?),
    })
}

fn read_organisation(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<RouteOrganisation> {
    reader.mapping(node, &["name", "tier", "keys", "quota"]);
    let name: Option<OrganisationName> = reader.required(node, "name", YamlReader::name);
    let tier = reader.optional(node, "tier", None, |reader, value| {
        reader.number(value, TIER_RANGE).map(|rank| Some(TierRank(rank as u8)))
    });
    let keys =
        reader.required(node, "keys", |reader, value| reader.sequence(value, YamlReader::text));
    let quota =
        reader.optional(node, "quota", None, |reader, value| read_quota(reader, value).map(Some));
    Some(RouteOrganisation { name: name?, tier: tier?, quota: quota?, keys: keys? })
}

fn read_quota(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<QuotaRule> {
    reader.mapping(node, &["unit", "rate", "burst", "default-tokens"]);
    let unit: Option<QuotaUnit> =
        reader.required(node, "unit", |reader, value| reader.parsed(value, "requests or tokens"));
    let mut amount =
        |key: &str| reader.required(node, key, |reader, value| reader.number(value, TOKEN_RANGE));
    let (rate, burst) = (amount("rate"), amount("burst"));
    let default_tokens = reader
        .optional(node, "default-tokens", 0, |reader, value| reader.number(value, TOKEN_RANGE));
    Some(QuotaRule {
        unit: unit?,
        rate: rate? as f64,
        burst: burst? as f64,
        default_tokens: default_tokens?,
    })
}

fn read_service(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
) -> Option<(RoutedService, Vec<TargetEntry>)> {
    reader.mapping(node, &["name", "connection-limit", "engine", "health-path", "targets"]);
    let name: Option<ServiceName> = reader.required(node, "name", YamlReader::name);
    let limit = reader.optional(node, "connection-limit", DEFAULT_CONNECTIONS, |reader, value| {
        reader.number(value, CONNECTION_RANGE)
    });
    let engine =
        reader.optional(node, "engine", None, |reader, value| read_engine(reader, value).map(Some));
    let health_path =
        reader.optional(node, "health-path", HealthPath::default(), |reader, value| {
            reader.parsed(value, "a slash and visible ASCII characters")
        });
    let name = name?;
    let targets = reader.required(node, "targets", |reader, value| {
        reader.sequence(value, |reader, item| read_target(reader, item, &name))
    });
    let connection_limit = u32::try_from(limit?).unwrap_or(u32::MAX);
    let service =
        RoutedService { name, connection_limit, engine: engine?, health_path: health_path? };
    Some((service, targets?))
}

fn read_engine(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<EngineProfile> {
    reader.mapping(node, &["memory", "tokens-per-event"]);
    let memory = reader.required(node, "memory", |reader, value| reader.number(value, TOKEN_RANGE));
    let per_event = reader
        .optional(node, "tokens-per-event", 1, |reader, value| reader.number(value, SLOT_RANGE));
    Some(EngineProfile { memory: Tokens(memory?), tokens_per_event: per_event? as u32 })
}

fn read_target(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
    service: &ServiceName,
) -> Option<TargetEntry> {
    reader.mapping(node, &["name", "version", "data-centre", "address", "slots", "leaving"]);
    let name = reader.required(node, "name", YamlReader::name);
    let unversioned = VersionName::from("");
    let version = reader.optional(node, "version", unversioned, YamlReader::name);
    let data_centre = reader.required(node, "data-centre", YamlReader::name);
    let address: Option<net::SocketAddr> = reader.required(node, "address", |reader, value| {
        reader.parsed(value, "an IP number and port, such as 127.0.0.1:8080")
    });
    let slots = reader.required(node, "slots", |reader, value| reader.number(value, SLOT_RANGE));
    let leaving = reader.optional(node, "leaving", false, YamlReader::flag);
    Some(TargetEntry {
        name: name?,
        service: service.clone(),
        version: version?,
        address: address?,
        data_centre: data_centre?,
        slots: slots? as u32,
        leaving: leaving?,
        warmup: Duration::ZERO,
        incarnation: TargetIncarnation::default(),
    })
}

/// A route's kind, parsed from its name in the text.
struct ParsedKind(RouteKind);

impl std::str::FromStr for ParsedKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "repeatable" => Ok(Self(RouteKind::Repeatable)),
            "once" => Ok(Self(RouteKind::OnceOnly)),
            "stream" => Ok(Self(RouteKind::Stream { resumable: false })),
            "resumable-stream" => Ok(Self(RouteKind::Stream { resumable: true })),
            _ => Err(()),
        }
    }
}

fn read_route(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
    services: &[ServiceName],
) -> Option<RouteRule> {
    const KEYS: [&str; 12] = [
        "name",
        "host",
        "prefix",
        "kind",
        "timeout",
        "objective",
        "pause",
        "patience",
        "tier",
        "attempts",
        "anonymous",
        "services",
    ];
    reader.mapping(node, &KEYS);
    let name = reader.required(node, "name", YamlReader::text);
    let host = reader.required(node, "host", YamlReader::text);
    let prefix = reader.required(node, "prefix", read_prefix);
    let kind: Option<ParsedKind> = reader.required(node, "kind", |reader, value| {
        reader.parsed(value, "repeatable, once, stream or resumable-stream")
    });
    let mut required_duration = |key: &str| {
        reader.required(node, key, |reader, value| reader.duration(value, DURATION_RANGE))
    };
    let (timeout, objective) = (required_duration("timeout"), required_duration("objective"));
    let mut optional_duration = |key: &str| {
        reader.optional(node, key, None, |reader, value| {
            reader.duration(value, DURATION_RANGE).map(Some)
        })
    };
    let (pause, patience) = (optional_duration("pause"), optional_duration("patience"));
    let tier = reader.optional(node, "tier", 0, |reader, value| reader.number(value, TIER_RANGE));
    let attempts =
        reader.optional(node, "attempts", 1, |reader, value| reader.number(value, ATTEMPT_RANGE));
    let anonymous = reader.optional(node, "anonymous", false, YamlReader::flag);
    let shares = reader.required(node, "services", |reader, value| {
        reader.sequence(value, |reader, item| read_share(reader, item, services))
    });
    Some(RouteRule {
        name: name?,
        host: host?,
        prefix: prefix?,
        kind: kind?.0,
        timeout: timeout?,
        objective: objective?,
        pause: pause?,
        patience: patience?,
        tier: TierRank(tier? as u8),
        attempts: attempts? as u32,
        anonymous: anonymous?,
        shares: shares?,
    })
}

fn read_prefix(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<String> {
    let prefix = reader.text(node)?;
    if prefix.starts_with('/') && prefix.ends_with('/') {
        return Some(prefix);
    }
    reader.record_error(node, format!("{prefix:?}"), "a path that begins and ends with a slash");
    None
}

fn read_share(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
    services: &[ServiceName],
) -> Option<ServiceShare> {
    reader.mapping(node, &["name", "weight"]);
    let service: Option<ServiceName> = reader.required(node, "name", YamlReader::name);
    let weight =
        reader.optional(node, "weight", 1, |reader, value| reader.number(value, WEIGHT_RANGE));
    let service = service?;
    if !services.contains(&service) {
        let name_node = node.get("name").unwrap_or(node);
        reader.record_error(name_node, format!("{:?}", service.as_str()), "a declared service");
        return None;
    }
    Some(ServiceShare { service, weight: weight? as u32 })
}

fn read_request_limits(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<RequestLimits> {
    reader.mapping(node, &["header", "body", "header-timeout", "idle-timeout"]);
    let defaults = RequestLimits::default();
    let mut size = |key: &str, default: ByteSize| {
        reader.optional(node, key, default.0, |reader, value| reader.number(value, BODY_RANGE))
    };
    let (header, body) = (size("header", defaults.header), size("body", defaults.body));
    let mut span = |key: &str, default: Duration| {
        reader.optional(node, key, default, |reader, value| reader.duration(value, DURATION_RANGE))
    };
    let header_timeout = span("header-timeout", defaults.header_timeout);
    let idle_timeout = span("idle-timeout", defaults.idle_timeout);
    Some(RequestLimits {
        header: ByteSize(header?),
        body: ByteSize(body?),
        header_timeout: header_timeout?,
        idle_timeout: idle_timeout?,
    })
}
