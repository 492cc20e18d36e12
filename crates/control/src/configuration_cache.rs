//! The configuration in force, and when the store last confirmed it.

use std::sync::Mutex;

use scheduler::Configuration;
use std::sync::Arc;

/// A configuration and its revision in the store.
#[derive(Debug, Clone)]
pub(crate) struct ActiveConfiguration {
    pub configuration: Arc<Configuration>,
    pub revision: u64,
}

#[derive(Debug, Default)]
struct State {
    active: Option<ActiveConfiguration>,
    /// When the last call that confirmed it was sent.
    confirmed_ms: u64,
    /// The newest version by which a peer has answered a call for this node.
    peers_version: u64,
}

impl State {
    fn version(&self) -> u64 {
        let active = self.active.as_ref();
        active.map_or(0, |active| active.configuration.version)
    }
}

/// The configuration in force and the time of its last confirmation.
#[derive(Debug, Default)]
pub(crate) struct ConfigurationCache {
    state: Mutex<State>,
}

impl ConfigurationCache {
    /// Records a configuration read by a call sent at `sent_ms`. Returns true if it is newer than the one in force and
    /// replaces it.
    pub fn adopt(&self, configuration: Configuration, revision: u64, sent_ms: u64) -> bool {
        let Ok(mut state) = self.state.lock() else {
            return false;
        };
        state.confirmed_ms = state.confirmed_ms.max(sent_ms);
        let newer = state.active.as_ref().is_none_or(|active| {
            revision > active.revision && configuration.version >= active.configuration.version
        });
        if newer {
            state.active = Some(ActiveConfiguration {
                configuration: Arc::new(configuration),
                revision,
            });
        }
        newer
    }

    /// Records that a call sent at `sent_ms` found the configuration unchanged.
    pub fn confirm(&self, sent_ms: u64) {
        if let Ok(mut state) = self.state.lock() {
            state.confirmed_ms = state.confirmed_ms.max(sent_ms);
        }
    }

    /// Records that a peer has answered a call for this node by this version. Callers have seen it, so an older one is no
    /// longer used.
    pub fn record_peers_version(&self, version: u64) {
        if let Ok(mut state) = self.state.lock() {
            state.peers_version = state.peers_version.max(version);
        }
    }

    /// Returns the oldest version by which a call may be answered.
    pub fn least_version(&self) -> u64 {
        self.state
            .lock()
            .map_or(0, |state| state.version().max(state.peers_version))
    }

    /// Returns the configuration, if it was confirmed at or after `since_ms` and no peer has answered by a newer one.
    pub fn confirmed_since(&self, since_ms: u64) -> Option<ActiveConfiguration> {
        let state = self.state.lock().ok()?;
        if state.confirmed_ms < since_ms || state.version() < state.peers_version {
            return None;
        }
        state.active.clone()
    }

    /// Returns the version in force (0 for none), and when the last call that confirmed it was sent.
    pub fn version_and_confirmation(&self) -> (u64, u64) {
        self.state
            .lock()
            .map_or((0, 0), |state| (state.version(), state.confirmed_ms))
    }

    /// Returns the configuration, regardless of its last confirmation.
    pub fn latest(&self) -> Option<ActiveConfiguration> {
        self.state.lock().ok()?.active.clone()
    }
}
