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

    /// Returns the configuration, if it was confirmed at or after `since_ms`.
    pub fn confirmed_since(&self, since_ms: u64) -> Option<ActiveConfiguration> {
        let state = self.state.lock().ok()?;
        if state.confirmed_ms < since_ms {
            return None;
        }
        state.active.clone()
    }

    /// Returns the version in force (0 for none), and when the last call that confirmed it was sent.
    pub fn version_and_confirmation(&self) -> (u64, u64) {
        self.state.lock().map_or((0, 0), |state| {
            let version = state
                .active
                .as_ref()
                .map_or(0, |active| active.configuration.version);
            (version, state.confirmed_ms)
        })
    }

    /// Returns the configuration, regardless of its last confirmation.
    pub fn latest(&self) -> Option<ActiveConfiguration> {
        self.state.lock().ok()?.active.clone()
    }
}
