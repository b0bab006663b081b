//! The text of the member list in discovery's format, for the store and for other proxies. It is rendered only when the
//! list has changed, and in parts: a list of thousands of members must not hold up the answers.

use crate::core::{CoreCommand, ListedMembers};
use crate::effective_list::ListedMember;
use crate::handover::ControlHandle;
use crate::interface::ServiceState;
use serde::Serialize;
use std::sync::Arc;

/// Entries that are rendered before other tasks may run.
const ENTRIES_PER_PART: usize = 64;

/// An entry in discovery's format.
#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct EntryText<'a> {
    instance_id: &'a str,
    host_port: String,
    cell: u64,
    zone: Option<&'a str>,
    lifecycle: &'static str,
    started_at_ms: u64,
}

/// The text of the list as it was last rendered.
#[derive(Default)]
pub struct ListExport {
    /// The revision of the core's list that `entries` shows.
    revision: u64,
    /// The entries, separated by commas; empty if no member is listed.
    entries: String,
    /// The whole text and the version in it.
    text: Option<(u64, Arc<str>)>,
}

impl ListExport {
    /// The text of the current list, with discovery's version of it. Returns `None` once the core has ended. If the
    /// future is dropped, the former list stays.
    pub async fn text(
        &mut self,
        control: &ControlHandle,
        version: u64,
        zones: &[String],
    ) -> Option<Arc<str>> {
        let known = self.revision;
        let changed = control.request(|reply| CoreCommand::QueryMembers(known, reply)).await?;
        if let Some(ListedMembers { revision, members }) = changed {
            self.entries = render_entries(&members, zones).await;
            (self.revision, self.text) = (revision, None);
        }
        let current = self.text.take().filter(|(rendered, _)| *rendered == version);
        let (_, text) = self.text.insert(current.unwrap_or_else(|| (version, self.render(version))));
        Some(text.clone())
    }

    /// Whether the list named no member when it was last asked for.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn render(&self, version: u64) -> Arc<str> {
        let entries = &self.entries;
        format!("{{\"generation\":{version},\"reset\":true,\"instances\":[{entries}]}}").into()
    }
}

async fn render_entries(members: &[ListedMember], zones: &[String]) -> String {
    let mut text = String::new();
    for (n, part) in members.chunks(ENTRIES_PER_PART).enumerate() {
        if n > 0 {
            tokio::task::yield_now().await;
        }
        for entry in part {
            // Fails only for values that are no JSON, and an entry has none.
            let Ok(entry) = serde_json::to_string(&entry_text(entry, zones)) else { continue };
            if !text.is_empty() {
                text.push(',');
            }
            text.push_str(&entry);
        }
    }
    text
}

fn entry_text<'a>(entry: &'a ListedMember, zones: &'a [String]) -> EntryText<'a> {
    let ListedMember { name, address, member } = entry;
    EntryText {
        instance_id: name,
        host_port: address.to_string(),
        cell: member.group,
        zone: zones.get(member.zone as usize).map(String::as_str),
        lifecycle: if member.service_state == ServiceState::Draining { "leaving" } else { "active" },
        started_at_ms: member.up_since.unwrap_or(0) / 1_000,
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::interface::{Member, MemberId};
    use crate::net::discovery::ListReader;

    fn listed(id: u32) -> ListedMember {
        let service_state = if id == 2 { ServiceState::Draining } else { ServiceState::Active };
        let up_since = (id == 3).then_some(5_000_000);
        let member = Member { id: MemberId(id), zone: 0, group: 7, service_state, primary: false, up_since };
        let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
        ListedMember { name: format!("s-{id:08x}").into(), address, member }
    }

    /// A control handle of a core that answers queries for its members with `members` at revision 5.
    fn core_with(members: Vec<ListedMember>) -> (ControlHandle, tokio::task::JoinHandle<Vec<u64>>) {
        let (sender, mut commands) = tokio::sync::mpsc::channel(1);
        let core = tokio::spawn(async move {
            let mut known_revisions = Vec::new();
            while let Some(CoreCommand::QueryMembers(known, reply)) = commands.recv().await {
                known_revisions.push(known);
                let _ =
                    reply.send((known != 5).then(|| ListedMembers { revision: 5, members: members.clone() }));
            }
            known_revisions
        });
        (ControlHandle::new(sender, crate::handover::shared_folder::SharedFolder::expected()), core)
    }

    #[tokio::test]
    async fn the_text_is_the_list_that_was_read() {
        let zones = ["a".to_string()];
        let members: Vec<ListedMember> = (1..=200).map(listed).collect();
        let (control, _) = core_with(members.clone());
        let text = ListExport::default().text(&control, 41, &zones).await.expect("a core");
        let json = serde_json::from_str(&text).expect("valid JSON");
        let read = ListReader::new(zones.to_vec()).read(&json, None).expect("a list");
        assert_eq!(read, (41, true, members));
    }

    #[tokio::test]
    async fn an_unchanged_list_is_not_rendered_again() {
        let (control, core) = core_with((1..=3).map(listed).collect());
        let mut export = ListExport::default();
        let first = export.text(&control, 41, &[]).await.expect("a core");
        let again = export.text(&control, 41, &[]).await.expect("a core");
        assert!(Arc::ptr_eq(&first, &again));
        let newer = export.text(&control, 42, &[]).await.expect("a core");
        assert!(newer.starts_with("{\"generation\":42,"), "{newer}");
        drop(control);
        assert_eq!(core.await.expect("it ends"), [0, 5, 5]);
    }

    #[tokio::test]
    async fn a_list_without_members_is_empty() {
        let (control, _) = core_with(Vec::new());
        let mut export = ListExport::default();
        let text = export.text(&control, 3, &[]).await.expect("a core");
        assert_eq!(&*text, "{\"generation\":3,\"reset\":true,\"instances\":[]}");
        assert!(export.is_empty());
    }
}
