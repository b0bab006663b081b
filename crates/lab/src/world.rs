//! A world on loopback: a group of one primary and its replicas, discovery, and the real proxy before them.

use crate::drive::Front;
use crate::Failure;
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::{entry, Registry};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Replicas beside the primary.
pub const REPLICAS: usize = 3;

/// How a world is to be.
pub struct Plan<'a> {
    /// The proxy's program.
    pub program: &'a Path,
    /// How much each member can take.
    pub capacity: Capacity,
    /// How far the replicas are behind, in ms.
    pub lag_ms: u64,
    /// Whether OData is served too.
    pub odata: bool,
    /// How many times longer than the users' all aims and deadlines are.
    pub patience: u64,
}

/// The running world.
pub struct World {
    /// The primary first.
    pub members: Vec<Member>,
    /// Their log.
    pub group: Group,
    /// The proxy.
    pub proxy: Proxy,
}

impl World {
    /// Starts it, with the users' four classes at their own aims and deadlines.
    pub async fn start(plan: &Plan<'_>) -> Result<Self, Failure> {
        let group = Group::default();
        let start = |i| Member::start(&group, i == 0, if i == 0 { 0 } else { plan.lag_ms }, plan.capacity);
        let members: Vec<Member> = (0..=REPLICAS).map(start).collect();
        let list: Vec<_> = members.iter().enumerate().map(|(i, m)| entry(i, m.address())).collect();
        let discovery = Registry::default().start(list.clone().into()).to_string();
        let mut settings = proxy::settings();
        settings["discovery"] = "subscribe".into();
        settings["services"] = proxy::classes(plan.patience);
        let setup = Setup {
            program: plan.program.to_path_buf(),
            config: proxy::config(&discovery, &list, settings, 1024, 192),
            odata: plan.odata,
            ..Setup::default()
        };
        let proxy = Proxy::start(&setup)
            .map_err(|e| Failure::Unusable(format!("{}: {e}", plan.program.display())))?;
        if plan.odata {
            // Repeatable Requests count in whole seconds: the process must be older than the second it began in.
            tokio::time::sleep(Duration::from_millis(1_050)).await;
        }
        Ok(World { members, group, proxy })
    }

    /// Where clients of a front connect; a world that was not to serve OData has one address.
    pub fn address(&self, front: Front) -> SocketAddr {
        match front {
            Front::Pg => self.proxy.pg,
            Front::Odata => self.proxy.odata.unwrap_or(self.proxy.pg),
        }
    }
}

/// The proxy's program: the one named, or the one beside this program.
pub fn program(named: Option<&PathBuf>) -> Result<PathBuf, Failure> {
    let beside = || Some(std::env::current_exe().ok()?.parent()?.join("linentrail"));
    let path = named.cloned().or_else(beside).unwrap_or_default();
    match path.is_file() {
        true => Ok(path),
        false => {
            Err(Failure::Unusable(format!("there is no program at '{}'; build it first", path.display())))
        }
    }
}
