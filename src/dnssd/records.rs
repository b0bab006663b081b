//! From DNS records to members, and the OData front's own records.
//!
//! A member is an instance of the configured service. Its SRV record names host and port, the host's A record the
//! address, and its TXT record (`cell=1`, `zone=makati-dc`, `id=...`, `started=Unix milliseconds`, `leaving=1`) what the
//! list needs beside. Without an `id`, the instance's name stands for it.

use crate::core::counters::{count, Count};
use crate::core::ListedMember;
use crate::interface::*;
use crate::net::discovery::MemberNumbers;
use hickory_proto::rr::rdata::{A, PTR, SRV, TXT};
use hickory_proto::rr::{Name, RData, Record, RecordType};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

/// Seconds for which others may keep the OData front's records; those that name a host are kept shorter (RFC 6763).
const TTL: u32 = 4_500;
const HOST_TTL: u32 = 120;

/// Values with the time until which each may be kept.
type Kept<T> = Vec<(T, Time)>;

/// Records held until their time to live is over.
#[derive(Default)]
pub struct RecordCache {
    instances: BTreeMap<Name, Kept<Name>>,
    servers: BTreeMap<Name, Kept<(u16, u16, u16, Name)>>,
    texts: BTreeMap<Name, Kept<BTreeMap<String, String>>>,
    hosts: BTreeMap<Name, Kept<Ipv4Addr>>,
}

/// The keys of a TXT record are compared without regard to case; of two alike the first counts (RFC 6763, 6.4).
fn pairs(text: &TXT) -> BTreeMap<String, String> {
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

fn keep<T: PartialEq>(kept: &mut Kept<T>, value: T, until: Time) {
    kept.retain(|(v, _)| *v != value);
    kept.push((value, until));
}

impl RecordCache {
    /// Takes in the answer to one question about `name`, complete for that name and `kind`: what it leaves out is
    /// gone, and a time to live of 0 says so too. What comes beside it adds to what is held.
    pub fn store_answer(&mut self, name: &Name, kind: RecordType, records: &[Record], now: Time) {
        self.remove(name, kind);
        for record in records {
            let until = now.saturating_add(Time::from(record.ttl) * 1_000_000);
            let at = record.name.to_lowercase();
            match &record.data {
                RData::PTR(PTR(to)) => keep(self.instances.entry(at).or_default(), to.to_lowercase(), until),
                RData::SRV(s) => {
                    let server = (s.priority, u16::MAX - s.weight, s.port, s.target.to_lowercase());
                    keep(self.servers.entry(at).or_default(), server, until);
                }
                RData::TXT(text) => keep(self.texts.entry(at).or_default(), pairs(text), until),
                RData::A(A(address)) => keep(self.hosts.entry(at).or_default(), *address, until),
                _ => {}
            }
        }
        self.expire(now);
    }

    /// The name has nothing of this type.
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

    /// The name does not exist.
    pub fn remove_name(&mut self, name: &Name) {
        for kind in [RecordType::PTR, RecordType::SRV, RecordType::TXT, RecordType::A] {
            self.remove(name, kind);
        }
    }

    /// Forgets what is past its time.
    pub fn expire(&mut self, now: Time) {
        fn fresh<T>(map: &mut BTreeMap<Name, Kept<T>>, now: Time) {
            map.values_mut().for_each(|kept| kept.retain(|(_, until)| now < *until));
            map.retain(|_, kept| !kept.is_empty());
        }
        fresh(&mut self.instances, now);
        fresh(&mut self.servers, now);
        fresh(&mut self.texts, now);
        fresh(&mut self.hosts, now);
    }

    /// When the first record will be past its time.
    pub fn next_expiry(&self) -> Option<Time> {
        fn first<T>(map: &BTreeMap<Name, Kept<T>>) -> Option<Time> {
            map.values().flatten().map(|(_, until)| *until).min()
        }
        [first(&self.instances), first(&self.servers), first(&self.texts), first(&self.hosts)]
            .into_iter()
            .flatten()
            .min()
    }

    /// The instances of a service.
    pub fn instances(&self, service: &Name) -> Vec<Name> {
        let known = self.instances.get(&service.to_lowercase());
        known.into_iter().flatten().map(|(name, _)| name.clone()).collect()
    }

    /// Hosts of an instance's SRV records.
    pub fn targets(&self, instance: &Name) -> Vec<Name> {
        let known = self.servers.get(&instance.to_lowercase());
        known.into_iter().flatten().map(|((.., target), _)| target.clone()).collect()
    }

    /// The members that can be made of what is held. Those whose records are incomplete or cannot be acted on are
    /// skipped and counted.
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
                    log::warn!("the records of {instance} make no member");
                }
            }
        }
        members
    }

    fn member(&self, instance: &Name, zones: &[String], numbers: &mut MemberNumbers) -> Option<ListedMember> {
        // The lowest priority first, then the highest weight.
        let mut servers: Vec<_> = self.servers.get(instance)?.iter().map(|(s, _)| s).collect();
        servers.sort();
        let address = servers.iter().find_map(|(_, _, port, target)| {
            let (host, _) = self.hosts.get(target)?.first()?;
            // Port 0 and the root as a target say that the service is not there (RFC 2782).
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

/// The records under which the OData front can be found.
///
/// # Errors
/// When the names are not such as DNS can hold, or the address is no IPv4 one.
pub fn front_records(instance: &str, domain: &str, listen: SocketAddr) -> Result<Vec<Record>, String> {
    let SocketAddr::V4(listen) = listen else { return Err(format!("{listen} has no A record")) };
    let wrong = |e: hickory_proto::ProtoError| format!("{instance} in {domain}: {e}");
    let mut domain = Name::from_ascii(domain).map_err(wrong)?;
    domain.set_fqdn(true);
    let at = |labels: &[&str]| {
        let under = labels.iter().rev().try_fold(domain.clone(), |name, label| name.prepend_label(*label));
        under.map_err(wrong)
    };
    let (service, host) = (at(&["_odata", "_tcp"])?, at(&[instance])?);
    let name = at(&[instance, "_odata", "_tcp"])?;
    let all = at(&["_services", "_dns-sd", "_udp"])?;
    let text = ["txtvers=1", "path=/", "version=4.01"].map(str::to_string).to_vec();
    Ok(vec![
        Record::from_rdata(all, TTL, RData::PTR(PTR(service.clone()))),
        Record::from_rdata(service, TTL, RData::PTR(PTR(name.clone()))),
        Record::from_rdata(name.clone(), HOST_TTL, RData::SRV(SRV::new(0, 0, listen.port(), host.clone()))),
        Record::from_rdata(name, TTL, RData::TXT(TXT::new(text))),
        Record::from_rdata(host, HOST_TTL, RData::A(A(*listen.ip()))),
    ])
}

/// A record as a zone file has it: the strings of a TXT record each in quotes.
pub fn zone_file_line(record: &Record) -> String {
    let RData::TXT(text) = &record.data else { return record.to_string() };
    let strings: Vec<String> = text
        .txt_data
        .iter()
        .map(|s| format!("\"{}\"", String::from_utf8_lossy(s).replace('"', "\\\"")))
        .collect();
    format!("{} {} {} TXT {}", record.name, record.ttl, record.dns_class, strings.join(" "))
}
