//! The services text: the tiers, organisations and services that operators declare, validated.
//!
//! # Example
//!
//! ```
//! use ryetide_core::catalog::ServiceCatalog;
//!
//! let catalog = ServiceCatalog::parse(
//!     "
//! tiers:
//!   - {name: floor, wait: 2s}
//! organisations:
//!   - {name: asha, share: 1}
//! services:
//!   - name: drafting
//!     kind: model
//!     targets:
//!       - {name: d1, data-centre: rajkot-hall, address: '127.0.0.1:9001', slots: 4, tokens: 8000}
//! ",
//! )
//! .unwrap();
//! assert_eq!(catalog.services().len(), 1);
//! ```

use std::{collections::BTreeMap, net, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    ids::{
        DataCentreKey, DataCentreName, OrganisationKey, OrganisationName, ScopeKey, ServiceKey,
        ServiceName, TargetKey, TargetName, TierName,
    },
    text::{self, ValidationErrors, ValueRange, YamlNode, YamlReader},
    units::{ByteSize, ShareWeight, TierRank, TokenRate, Tokens},
};

/// The most tiers a text may declare.
pub const TIER_LIMIT: usize = 8;
/// The permitted range of `body-limit`, in bytes.
const BODY_RANGE: ValueRange<u64> = ValueRange { min: 1_024, max: 64 << 20 };
const WAIT_RANGE: ValueRange<Duration> =
    ValueRange { min: Duration::from_millis(10), max: Duration::from_secs(3_600) };
const SLOT_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 4_096 };
const TOKEN_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 1 << 32 };
const SHARE_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 10_000 };
const RATE_RANGE: ValueRange<u64> = ValueRange { min: 1, max: 1_000_000 };
const DEFAULT_BODY_LIMIT: u64 = 1 << 20;
const DEFAULT_PREFILL_RATE: u64 = 5_000;
const DEFAULT_DECODE_RATE: u64 = 40;

/// The kind of a service's back end.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Deserialize, Serialize)]
pub enum ServiceKind {
    /// Model engines, whose answers are streams that can be resumed by request id.
    Model,
    /// A plain service, selected by path; its bodies are forwarded without being parsed.
    Plain,
}

impl std::str::FromStr for ServiceKind {
    type Err = ();

    fn from_str(text: &str) -> Result<Self, ()> {
        match text {
            "model" => Ok(Self::Model),
            "plain" => Ok(Self::Plain),
            _ => Err(()),
        }
    }
}

/// A tier of requests. The text lists the tiers from the most to the least urgent.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TierRule {
    /// The tier's name, as callers send it.
    pub name: TierName,
    /// The longest time a request of this tier may wait for a target.
    pub wait: Duration,
    /// The share of each target's slots that this tier may use, from 0 to 1. The rest is headroom
    /// for more urgent tiers.
    pub fill: f64,
}

/// An organisation and its weight within each tier.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct OrganisationRule {
    /// The organisation's name, as callers send it.
    pub name: OrganisationName,
    /// Its weight relative to the other organisations.
    pub share: ShareWeight,
}

/// One target, a replica of a service.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct TargetRule {
    /// The target's name, which is also the name of its VM in the platform's list.
    pub name: TargetName,
    /// The data centre that it runs in.
    pub data_centre: DataCentreName,
    /// The address that it listens on.
    pub address: net::SocketAddr,
    /// The most requests that it runs concurrently.
    pub slots: u32,
    /// The most tokens, of prompts and outputs, that it holds in memory at once.
    pub tokens: Tokens,
    /// The prefill speed that is assumed until one is measured.
    pub prefill_rate: TokenRate,
    /// The decode speed of one stream that is assumed until one is measured.
    pub decode_rate: TokenRate,
    /// Whether the operator declared both speeds. No request is refused on the basis of default
    /// speeds.
    pub speeds_declared: bool,
    /// Whether it rejects operations that carry an outdated fencing number.
    pub fencing: bool,
    /// Whether its contract guarantees that a refused request (status 503) did not run.
    pub refusal_ran_nothing: bool,
}

/// A service, its dependencies and its targets.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct ServiceRule {
    /// The service's name: the `model` of a request, or the first segment of a plain path.
    pub name: ServiceName,
    /// The kind of its back end.
    pub kind: ServiceKind,
    /// The services that this one cannot work without.
    pub depends_on: Vec<ServiceKey>,
    /// The size limit of a request body and, for plain services, of an answer.
    pub body_limit: ByteSize,
    /// Its targets.
    pub targets: Vec<TargetRule>,
}

impl ServiceRule {
    /// Returns the key of this service.
    pub fn key(&self) -> ServiceKey {
        ServiceKey::of(&self.name)
    }
}

/// A validated services text.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
pub struct ServiceCatalog {
    tiers: Vec<TierRule>,
    organisations: BTreeMap<OrganisationKey, OrganisationRule>,
    services: BTreeMap<ServiceKey, ServiceRule>,
}

impl ServiceCatalog {
    /// Parses and validates a services text.
    ///
    /// # Errors
    ///
    /// Returns every validation error of the text, each with its position, the value found and what
    /// is permitted.
    pub fn parse(text: &str) -> Result<Self, ValidationErrors> {
        text::read_text(text, read_catalog)
    }

    /// Returns the tiers, most urgent first.
    pub fn tiers(&self) -> &[TierRule] {
        &self.tiers
    }

    /// Returns the organisations by key.
    pub fn organisations(&self) -> &BTreeMap<OrganisationKey, OrganisationRule> {
        &self.organisations
    }

    /// Returns the services by key.
    pub fn services(&self) -> &BTreeMap<ServiceKey, ServiceRule> {
        &self.services
    }

    /// Returns the service with `key`.
    pub fn service(&self, key: ServiceKey) -> Option<&ServiceRule> {
        self.services.get(&key)
    }

    /// Returns the rank and rule of the tier called `name`.
    pub fn tier(&self, name: &str) -> Option<(TierRank, &TierRule)> {
        let rank = self.tiers.iter().position(|tier| tier.name.as_str() == name)?;
        Some((TierRank(rank as u8), &self.tiers[rank]))
    }

    /// Returns the scopes of `service`, one for each data centre in which it has targets.
    pub fn scopes_of(&self, service: ServiceKey) -> Vec<ScopeKey> {
        let Some(rule) = self.service(service) else {
            return Vec::new();
        };
        let mut scopes: Vec<ScopeKey> = rule
            .targets
            .iter()
            .map(|target| ScopeKey { service, data_centre: DataCentreKey::of(&target.data_centre) })
            .collect();
        scopes.sort();
        scopes.dedup();
        scopes
    }

    /// Returns the targets of one scope.
    pub fn targets_of(&self, scope: ScopeKey) -> impl Iterator<Item = &TargetRule> {
        self.service(scope.service)
            .into_iter()
            .flat_map(|rule| &rule.targets)
            .filter(move |target| DataCentreKey::of(&target.data_centre) == scope.data_centre)
    }

    /// Returns every scope of the catalog.
    pub fn scopes(&self) -> Vec<ScopeKey> {
        self.services.keys().flat_map(|service| self.scopes_of(*service)).collect()
    }

    /// Returns the target of `service` with `key`.
    pub fn target(&self, service: ServiceKey, key: TargetKey) -> Option<&TargetRule> {
        let targets = &self.service(service)?.targets;
        targets.iter().find(|target| TargetKey::of(&target.name) == key)
    }

    /// Returns the direct and transitive dependencies of `service`.
    pub fn dependencies_of(&self, service: ServiceKey) -> Vec<ServiceKey> {
        dependencies(&self.services, service)
    }
}

fn read_catalog(reader: &mut YamlReader, root: YamlNode<'_>) -> Option<ServiceCatalog> {
    if !reader.mapping(root, &["tiers", "organisations", "services"]) {
        return None;
    }
    let tiers = reader.required(root, "tiers", read_tiers);
    let organisations = reader.required(root, "organisations", read_organisations);
    let services = reader.required(root, "services", read_services);
    Some(ServiceCatalog { tiers: tiers?, organisations: organisations?, services: services? })
}

fn read_tiers(reader: &mut YamlReader, node: YamlNode<'_>) -> Option<Vec<TierRule>> {
    let mut names = UniqueNames::default();
    let tiers = reader.sequence(node, |reader, item| {
        reader.mapping(item, &["name", "wait", "fill"]);
        let name: Option<TierName> = reader.required(item, "name", YamlReader::name);
        if let Some(name) = &name {
            names.check(reader, item, name.as_str(), 0);
        }
        let wait =
            reader.required(item, "wait", |reader, value| reader.duration(value, WAIT_RANGE));
        let fill = reader.optional(item, "fill", 1.0, YamlReader::fraction);
        Some(TierRule { name: name?, wait: wait?, fill: fill? })
    })?;
    let count = node.length();
    if count == 0 || count > TIER_LIMIT {
        let permitted = format!("1 to {TIER_LIMIT} tiers, the most urgent first");
        reader.record_error(node, format!("{count} tiers"), &permitted);
        return None;
    }
    Some(tiers)
}

fn read_organisations(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
) -> Option<BTreeMap<OrganisationKey, OrganisationRule>> {
    let mut names = UniqueNames::default();
    let organisations = reader.sequence(node, |reader, item| {
        reader.mapping(item, &["name", "share"]);
        let name: Option<OrganisationName> = reader.required(item, "name", YamlReader::name);
        if let Some(name) = &name {
            names.check(reader, item, name.as_str(), OrganisationKey::of(name).0);
        }
        let share =
            reader.optional(item, "share", 1, |reader, value| reader.number(value, SHARE_RANGE));
        Some(OrganisationRule { name: name?, share: ShareWeight(share? as u32) })
    })?;
    Some(organisations.into_iter().map(|rule| (OrganisationKey::of(&rule.name), rule)).collect())
}

fn read_services(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
) -> Option<BTreeMap<ServiceKey, ServiceRule>> {
    let mut names = UniqueNames::default();
    let mut targets = UniqueNames::default();
    let rules = reader.sequence(node, |reader, item| {
        let rule = read_service(reader, item, &mut targets)?;
        names.check(reader, item, rule.name.as_str(), rule.key().0);
        Some(rule)
    })?;
    let services: BTreeMap<ServiceKey, ServiceRule> =
        rules.into_iter().map(|rule| (rule.key(), rule)).collect();
    check_dependencies(reader, node, &services);
    Some(services)
}

/// Returns the direct and transitive dependencies of `start`.
fn dependencies(
    services: &BTreeMap<ServiceKey, ServiceRule>,
    start: ServiceKey,
) -> Vec<ServiceKey> {
    let mut found: Vec<ServiceKey> = Vec::new();
    let mut pending = vec![start];
    while let Some(key) = pending.pop() {
        for dependency in services.get(&key).into_iter().flat_map(|rule| &rule.depends_on) {
            if !found.contains(dependency) {
                found.push(*dependency);
                pending.push(*dependency);
            }
        }
    }
    found
}

/// Records undeclared dependencies and dependency cycles at the service that lists them.
fn check_dependencies(
    reader: &mut YamlReader,
    node: YamlNode<'_>,
    services: &BTreeMap<ServiceKey, ServiceRule>,
) {
    reader.sequence(node, |reader, item| {
        // Values that do not parse here were recorded when the services were read.
        let name: ServiceName = item.get("name")?.as_text()?.parse().ok()?;
        let list = item.get("depends-on")?;
        reader.optional(item, "depends-on", Vec::new(), |reader, _| {
            reader.sequence(list, |reader, dependency| {
                let dependency_name: ServiceName = dependency.as_text()?.parse().ok()?;
                if !services.contains_key(&ServiceKey::of(&dependency_name)) {
                    reader.record_error(
                        dependency,
                        format!("{:?}", dependency_name.as_str()),
                        "a declared service",
                    );
                }
                Some(())
            })
        });
        if dependencies(services, ServiceKey::of(&name)).contains(&ServiceKey::of(&name)) {
            reader.record_error(
                list,
                format!("a cycle through {:?}", name.as_str()),
                "dependencies without cycles",
            );
        }
        Some(())
    });
}

fn read_service(
    reader: &mut YamlReader,
    item: YamlNode<'_>,
    targets: &mut UniqueNames,
) -> Option<ServiceRule> {
    reader.mapping(item, &["name", "kind", "depends-on", "body-limit", "targets"]);
    let name: Option<ServiceName> = reader.required(item, "name", YamlReader::name);
    let kind =
        reader.required(item, "kind", |reader, value| reader.parsed(value, "one of model, plain"));
    let depends_on: Option<Vec<ServiceName>> =
        reader.optional(item, "depends-on", Vec::new(), |reader, value| {
            reader.sequence(value, YamlReader::name)
        });
    let body_limit = reader.optional(item, "body-limit", DEFAULT_BODY_LIMIT, |reader, value| {
        reader.number(value, BODY_RANGE)
    });
    let rules = reader.required(item, "targets", |reader, value| {
        let rules =
            reader.sequence(value, |reader, target| read_target(reader, target, targets))?;
        if value.length() == 0 {
            reader.record_error(value, "no targets", "at least one target");
        }
        Some(rules)
    });
    Some(ServiceRule {
        name: name?,
        kind: kind?,
        depends_on: depends_on?.iter().map(ServiceKey::of).collect(),
        body_limit: ByteSize(body_limit?),
        targets: rules?,
    })
}

fn read_target(
    reader: &mut YamlReader,
    item: YamlNode<'_>,
    names: &mut UniqueNames,
) -> Option<TargetRule> {
    const KEYS: [&str; 9] = [
        "name",
        "data-centre",
        "address",
        "slots",
        "tokens",
        "prefill-rate",
        "decode-rate",
        "fencing",
        "refusal-ran-nothing",
    ];
    reader.mapping(item, &KEYS);
    let name: Option<TargetName> = reader.required(item, "name", YamlReader::name);
    if let Some(name) = &name {
        names.check(reader, item, name.as_str(), TargetKey::of(name).0);
    }
    let data_centre = reader.required(item, "data-centre", YamlReader::name);
    let address = reader.required(item, "address", |reader, value| {
        reader.parsed(value, "an IP number and port, such as 127.0.0.1:9001")
    });
    let slots = reader.required(item, "slots", |reader, value| reader.number(value, SLOT_RANGE));
    let tokens = reader.required(item, "tokens", |reader, value| reader.number(value, TOKEN_RANGE));
    let mut rate = |key: &str, default: u64| {
        reader.optional(item, key, default, |reader, value| reader.number(value, RATE_RANGE))
    };
    let prefill_rate = rate("prefill-rate", DEFAULT_PREFILL_RATE);
    let decode_rate = rate("decode-rate", DEFAULT_DECODE_RATE);
    let fencing = reader.optional(item, "fencing", false, YamlReader::flag);
    let refusal = reader.optional(item, "refusal-ran-nothing", false, YamlReader::flag);
    Some(TargetRule {
        name: name?,
        data_centre: data_centre?,
        address: address?,
        slots: slots? as u32,
        tokens: Tokens(tokens?),
        prefill_rate: TokenRate(prefill_rate? as f64),
        decode_rate: TokenRate(decode_rate? as f64),
        speeds_declared: item.get("prefill-rate").is_some() && item.get("decode-rate").is_some(),
        fencing: fencing?,
        refusal_ran_nothing: refusal?,
    })
}

/// Detects duplicate names, and names whose keys collide.
#[derive(Default)]
struct UniqueNames {
    /// The key of each name, or 0 for names that have no key.
    seen: BTreeMap<String, u32>,
}

impl UniqueNames {
    /// Records an error when `name` is a duplicate or its key collides with another name's.
    fn check(&mut self, reader: &mut YamlReader, item: YamlNode<'_>, name: &str, key: u32) {
        let name_node = item.get("name").unwrap_or(item);
        if self.seen.contains_key(name) {
            reader.record_error(name_node, format!("{name:?} again"), "a name used once");
        } else if key != 0 && self.seen.values().any(|other| *other == key) {
            reader.record_error(
                name_node,
                format!("{name:?}"),
                "a name whose 32-bit hash no other name shares",
            );
        }
        self.seen.insert(name.to_owned(), key);
    }
}
