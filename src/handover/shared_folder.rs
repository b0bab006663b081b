//! The folder of a proxy's processes as its users see it: there may be none, or it may not be usable yet.

use super::folder::HandoverFolder;
use std::sync::{Arc, OnceLock};

/// The folder, where this proxy is to have one. Copies see it joined at the same time.
#[derive(Debug, Clone, Default)]
pub struct SharedFolder {
    expected: bool,
    folder: Arc<OnceLock<Arc<HandoverFolder>>>,
}

impl SharedFolder {
    /// One that is to be joined.
    pub fn expected() -> Self {
        SharedFolder { expected: true, ..SharedFolder::default() }
    }

    /// One that is joined.
    pub fn joined(folder: Arc<HandoverFolder>) -> Self {
        let shared = SharedFolder::expected();
        shared.join(folder);
        shared
    }

    /// It has been joined; only the first one counts.
    pub fn join(&self, folder: Arc<HandoverFolder>) {
        let _ = self.folder.set(folder);
    }

    /// The folder, once it is joined.
    pub fn get(&self) -> Option<&Arc<HandoverFolder>> {
        self.folder.get()
    }

    /// Whether it has still to be joined: another process may live that this one cannot see.
    pub fn is_missing(&self) -> bool {
        self.expected && self.folder.get().is_none()
    }
}
