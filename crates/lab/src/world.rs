//! A test setup on loopback: a group of one primary and its replicas, discovery, and the real proxy in front of them.

use crate::drive::Front;
use crate::Failure;
use linentrail_standins::group::Group;
use linentrail_standins::member::{Capacity, Member};
use linentrail_standins::proxy::{self, Proxy, Setup};
use linentrail_standins::registry::{entry, Registry};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of replicas of the group.
pub const REPLICAS: usize = 3;

/// Options of a test setup.
pub struct WorldOptions<'a> {
    /// The proxy's program.
    pub program: &'a Path,
    /// The capacity of each member.
    pub capacity: Capacity,
    /// Replication lag of the replicas, in ms.
    pub lag_ms: u64,
    /// Whether the proxy also serves OData.
    pub odata: bool,
    /// Factor applied to the aims and deadlines of all classes.
    pub timeout_factor: u64,
}

/// The running test setup.
pub struct World {
    /// The members; the first is the primary.
    pub members: Vec<Member>,
    /// The replication log that the members share.
    pub group: Group,
    /// The proxy.
    pub proxy: Proxy,
}

impl World {
    /// Starts the members, discovery and the proxy, with the four classes of the users.
    pub async fn start(plan: &WorldOptions<'_>) -> Result<Self, Failure> {
        let group = Group::default();
        let start = |i| Member::start(&group, i == 0, if i == 0 { 0 } else { plan.lag_ms }, plan.capacity);
        let members: Vec<Member> = (0..=REPLICAS).map(start).collect();
        let list: Vec<_> = members.iter().enumerate().map(|(i, m)| entry(i, m.address())).collect();
        let discovery = Registry::default().start(list.clone().into()).to_string();
        let mut settings = proxy::settings();
        settings["discovery"] = "subscribe".into();
        settings["services"] = proxy::classes(plan.timeout_factor);
        let setup = Setup {
            program: plan.program.to_path_buf(),
            config: proxy::config(&discovery, &list, settings, 1024, 192),
            odata: plan.odata,
            ..Setup::default()
        };
        let proxy = Proxy::start(&setup)
            .map_err(|e| Failure::InvalidInput(format!("{}: {e}", plan.program.display())))?;
        if plan.odata {
            // OData Repeatable Requests have timestamps in whole seconds, so requests must not be sent within the
            // second in which the process started.
            tokio::time::sleep(Duration::from_millis(1_050)).await;
        }
        Ok(World { members, group, proxy })
    }

    /// The address for clients of a front; the PostgreSQL address if OData was not enabled.
    pub fn address(&self, front: Front) -> SocketAddr {
        match front {
            Front::Pg => self.proxy.pg,
            Front::Odata => self.proxy.odata.unwrap_or(self.proxy.pg),
        }
    }
}

/// The path of the proxy's executable: `given`, or `linentrail` in the folder of this executable.
pub fn find_program(given: Option<&PathBuf>) -> Result<PathBuf, Failure> {
    let default_path = || Some(std::env::current_exe().ok()?.parent()?.join("linentrail"));
    let path = given.cloned().or_else(default_path).unwrap_or_default();
    match path.is_file() {
        true => Ok(path),
        false => {
            Err(Failure::InvalidInput(format!("there is no program at '{}'; build it first", path.display())))
        }
    }
}
