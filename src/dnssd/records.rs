//! Converts DNS records to members, and creates the records of the OData front.
//!
//! A member is an instance of the configured service. Its SRV record names host and port, the host's A record the
//! address, and its TXT record (`cell=1`, `zone=makati-dc`, `id=...`, `started=Unix milliseconds`, `leaving=1`) the
//! other fields of a list entry. Without an `id`, the instance's name is the member's id.

use crate::core::counters::{count, Count};
use crate::core::ListedMember;
use crate::interface::*;
use crate::net::discovery::MemberNumbers;
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Times to live of the OData front's records, in s; records that contain a host name get the shorter one (RFC 6763).
const SERVICE_TTL: u32 = 4_500;
const HOST_TTL: u32 = 120;

/// Values, each with its expiry time.
type Expiring<T> = Vec<(T, Time)>;

/// Records that are cached until their time to live ends.
#[derive(Default)]
pub struct RecordCache {
    instances: BTreeMap<Name, Expiring<Name>>,
    servers: BTreeMap<Name, Expiring<(u16, u16, u16, Name)>>,
    texts: BTreeMap<Name, Expiring<BTreeMap<String, String>>>,
    hosts: BTreeMap<Name, Expiring<Ipv4Addr>>,
}

/// Keys of a TXT record are case-insensitive; the first of several equal keys is used (RFC 6763, 6.4).
fn text_pairs(text: &TXT) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    for part in &text.txt_data {
        let part = String::from_utf8_lossy(part).into_owned();
        let (name, value) = part.split_once('=').unwrap_or((&part, ""));
        if !name.is_empty() {
            pairs.entry(name.to_ascii_lowercase()).or_insert_with(|| value.to_string());
        }
    }
    pairs
}

/// Adds a value, replacing an equal one and its expiry time.
fn insert<T: PartialEq>(kept: &mut Expiring<T>, value: T, until: Time) {
    kept.retain(|(v, _)| *v != value);
    kept.push((value, until));
}

impl RecordCache {
    /// Stores the answer to one query. It is complete for `name` and `kind`: cached records that it does not contain
    /// are removed, as is a record with a time to live of 0. Records for other names or types are added to the cache.
    pub fn store_answer(&mut self, name: &Name, kind: RecordType, records: &[Record], now: Time) {
        self.remove(name, kind);
        for record in records {
            let until = now.saturating_add(Time::from(record.ttl) * 1_000_000);
            let at = record.name.to_lowercase();
            match &record.data {
                RData::PTR(PTR(to)) => {
                    insert(self.instances.entry(at).or_default(), to.to_lowercase(), until)
                }
                RData::SRV(s) => {
                    let server = (s.priority, u16::MAX - s.weight, s.port, s.target.to_lowercase());
                    insert(self.servers.entry(at).or_default(), server, until);
                }
                RData::TXT(text) => insert(self.texts.entry(at).or_default(), text_pairs(text), until),
                RData::A(A(address)) => insert(self.hosts.entry(at).or_default(), *address, until),
                _ => {}
            }
        }
        self.expire(now);
    }

    /// Removes all records of this name and type.
    pub fn remove(&mut self, name: &Name, kind: RecordType) {
        let name = name.to_lowercase();
        match kind {
            RecordType::PTR => drop(self.instances.remove(&name)),
            RecordType::SRV => drop(self.servers.remove(&name)),
            RecordType::TXT => drop(self.texts.remove(&name)),
            RecordType::A => drop(self.hosts.remove(&name)),
            _ => {}
        }
    }

    /// Removes all records of a name that does not exist.
    pub fn remove_name(&mut self, name: &Name) {
        for kind in [RecordType::PTR, RecordType::SRV, RecordType::TXT, RecordType::A] {
            self.remove(name, kind);
        }
    }

    /// Removes expired records.
    pub fn expire(&mut self, now: Time) {
        fn retain_unexpired<T>(map: &mut BTreeMap<Name, Expiring<T>>, now: Time) {
            map.values_mut().for_each(|kept| kept.retain(|(_, until)| now < *until));
            map.retain(|_, kept| !kept.is_empty());
        }
        retain_unexpired(&mut self.instances, now);
        retain_unexpired(&mut self.servers, now);
        retain_unexpired(&mut self.texts, now);
        retain_unexpired(&mut self.hosts, now);
    }

    /// When the next record expires.
    pub fn next_expiry(&self) -> Option<Time> {
        fn earliest<T>(map: &BTreeMap<Name, Expiring<T>>) -> Option<Time> {
            map.values().flatten().map(|(_, until)| *until).min()
        }
        [earliest(&self.instances), earliest(&self.servers), earliest(&self.texts), earliest(&self.hosts)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The instances of a service.
    pub fn instances(&self, service: &Name) -> Vec<Name> {
        let records = self.instances.get(&service.to_lowercase());
        records.into_iter().flatten().map(|(name, _)| name.clone()).collect()
    }

    /// The hosts in an instance's SRV records.
    pub fn targets(&self, instance: &Name) -> Vec<Name> {
        let records = self.servers.get(&instance.to_lowercase());
        records.into_iter().flatten().map(|((.., target), _)| target.clone()).collect()
    }

    /// The members that the cached records describe. Instances whose records are incomplete or unusable are skipped
    /// and counted.
    pub fn members(
        &self,
        service: &Name,
        zones: &[String],
        numbers: &mut MemberNumbers,
    ) -> Vec<ListedMember> {
        let mut members: Vec<ListedMember> = Vec::new();
        for instance in self.instances(service) {
            match self.member(&instance, zones, numbers) {
                Some(new) if members.iter().all(|m| m.member.id != new.member.id) => members.push(new),
                _ => {
                    count(Count::dnssd_skipped);
                    log::warn!("the records of {instance} do not describe a usable member");
                }
            }
        }
        members
    }

    fn member(&self, instance: &Name, zones: &[String], numbers: &mut MemberNumbers) -> Option<ListedMember> {
        // Lowest priority first, then highest weight (the weights are stored inverted).
        let mut servers: Vec<_> = self.servers.get(instance)?.iter().map(|(s, _)| s).collect();
        servers.sort();
        let address = servers.iter().find_map(|(_, _, port, target)| {
            let (host, _) = self.hosts.get(target)?.first()?;
            // The root as a target means that the service is not available (RFC 2782); port 0 is treated likewise.
            (*port > 0 && !target.is_root()).then(|| SocketAddr::from((*host, *port)))
        })?;
        let (text, _) = self.texts.get(instance)?.first()?;
        let label = instance.iter().next().map(|l| String::from_utf8_lossy(l).into_owned())?;
        let zone = text.get("zone").and_then(|z| zones.iter().position(|n| n == z));
        let started = match text.get("started") {
            Some(ms) => Some(ms.parse::<u64>().ok()?).filter(|ms| *ms > 0),
            None => None,
        };
        let id = text.get("id").unwrap_or(&label);
        Some(ListedMember {
            name: id.as_str().into(),
            address,
            member: Member {
                group: text.get("cell")?.parse().ok()?,
                id: numbers.number_for(id),
                zone: zone.map_or(u32::MAX, |z| z as u32),
                service_state: match text.get("leaving").map(String::as_str) {
                    None | Some("0") => ServiceState::Active,
                    Some(_) => ServiceState::Draining,
                },
                primary: false,
                up_since: started.map(|ms| ms.saturating_mul(1000)),
            },
        })
    }
}

/// The DNS-SD records that advertise the OData front.
///
/// # Errors
/// If a name is not a valid DNS name, or the address is not IPv4.
pub fn front_records(instance: &str, domain: &str, listen: SocketAddr) -> Result<Vec<Record>, String> {
    let SocketAddr::V4(listen) = listen else { return Err(format!("{listen} has no A record")) };
    let invalid = |e: hickory_proto::ProtoError| format!("{instance} in {domain}: {e}");
    let mut domain = Name::from_ascii(domain).map_err(invalid)?;
    domain.set_fqdn(true);
    let name_under = |labels: &[&str]| {
        let full_name =
            labels.iter().rev().try_fold(domain.clone(), |name, label| name.prepend_label(*label));
        full_name.map_err(invalid)
    };
    let (service, host) = (name_under(&["_odata", "_tcp"])?, name_under(&[instance])?);
    let name = name_under(&[instance, "_odata", "_tcp"])?;
    let service_types = name_under(&["_services", "_dns-sd", "_udp"])?;
    let text = ["txtvers=1", "path=/", "version=4.01"].map(str::to_string).to_vec();
    Ok(vec![
        Record::from_rdata(service_types, SERVICE_TTL, RData::PTR(PTR(service.clone()))),
        Record::from_rdata(service, SERVICE_TTL, RData::PTR(PTR(name.clone()))),
        Record::from_rdata(name.clone(), HOST_TTL, RData::SRV(SRV::new(0, 0, listen.port(), host.clone()))),
        Record::from_rdata(name, SERVICE_TTL, RData::TXT(TXT::new(text))),
        Record::from_rdata(host, HOST_TTL, RData::A(A(*listen.ip()))),
    ])
}

/// Formats a record for a zone file, with each string of a TXT record in quotes.
pub fn zone_file_line(record: &Record) -> String {
    let RData::TXT(text) = &record.data else { return record.to_string() };
    let strings: Vec<String> = text
        .txt_data
        .iter()
        .map(|s| format!("\"{}\"", String::from_utf8_lossy(s).replace('"', "\\\"")))
        .collect();
    format!("{} {} {} TXT {}", record.name, record.ttl, record.dns_class, strings.join(" "))
}
