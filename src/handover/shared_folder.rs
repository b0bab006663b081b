//! The shared folder as its users hold it: there may be none, or it may not be usable yet.

use super::folder::HandoverFolder;
use std::sync::{Arc, OnceLock};

/// The shared folder, if this proxy is to have one. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct SharedFolder {
    expected: bool,
    folder: Arc<OnceLock<Arc<HandoverFolder>>>,
}

impl SharedFolder {
    /// A folder that is still to be joined.
    pub fn expected() -> Self {
        SharedFolder { expected: true, ..SharedFolder::default() }
    }

    /// A folder that is joined already.
    pub fn joined(folder: Arc<HandoverFolder>) -> Self {
        let shared = SharedFolder::expected();
        shared.join(folder);
        shared
    }

    /// Sets the joined folder; only the first call has an effect.
    pub fn join(&self, folder: Arc<HandoverFolder>) {
        let _ = self.folder.set(folder);
    }

    /// The folder, once it is joined.
    pub fn get(&self) -> Option<&Arc<HandoverFolder>> {
        self.folder.get()
    }

    /// Whether the folder is still to be joined: a peer process may be running that this one cannot see.
    pub fn is_missing(&self) -> bool {
        self.expected && self.folder.get().is_none()
    }
}
