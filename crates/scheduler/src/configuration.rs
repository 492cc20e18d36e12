//! The declared configuration in force: queues, services, organisations.

use serde::{Deserialize, Serialize};

/// A policy that only some workers may run a step, told by an outside service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// How long that service takes for a call.
    pub decide_ms: u64,
    /// How much longer for each worker named.
    pub each_worker_ms: u64,
    /// How long a ticket lasts.
    pub valid_ms: u64,
}

/// A queue that callers hand jobs in to.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The start of the paths that belong to it.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// 0 comes first.
    pub priority: u32,
    /// How many failed runs of a task are borne.
    pub attempts: u32,
    /// A job is on time if it takes at most this share of its longest chain of work, in hundredths, ...
    pub stretch_percent: u32,
    /// ... and this much more.
    pub goal_ms: u64,
    /// Whether calls need no key.
    pub public: bool,
    /// Who says which workers may run a step, if anyone does.
    pub advice: Option<Advice>,
}

/// A service: a kind of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse what does not fit.
    pub refuses_overload: bool,
    /// Whether its machines are kept switched off, as a reserve.
    pub reserve: bool,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Its name.
    pub name: String,
    /// The keys that its callers use.
    pub keys: Vec<String>,
    /// Accelerators that belong to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: i64,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// The largest body, in bytes.
    pub body_bytes: usize,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Its version.
    pub version: u64,
    /// All queues, the longest path first.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// Limits on what callers send.
    pub limits: BodyLimits,
}

/// Why a call is turned away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No queue has that host and path.
    NoQueue,
    /// The key belongs to no organisation.
    UnknownKey,
}

impl Configuration {
    /// The queue of a host and path, and what follows its prefix.
    pub fn find_queue<'c, 'p>(&'c self, host: &str, path: &'p str) -> Option<(&'c Queue, &'p str)> {
        let host = host.split(':').next().unwrap_or(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter_map(|queue| {
                path.strip_prefix(queue.path_prefix.as_str())
                    .map(|rest| (queue, rest))
            })
            .max_by_key(|(queue, _)| queue.path_prefix.len())
    }

    /// The queue of a name.
    pub fn find_queue_by_name(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// The organisation that a key belongs to.
    pub fn find_organisation(&self, key: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.keys.iter().any(|known| known == key))
    }

    /// Who calls: an organisation's name, empty for a public queue without a known key.
    pub fn admit_caller(&self, queue: &Queue, key: Option<&str>) -> Result<String, Denied> {
        let found = key
            .and_then(|key| self.find_organisation(key))
            .map(|o| o.name.clone());
        match (found, queue.public) {
            (Some(name), _) => Ok(name),
            (None, true) => Ok(String::new()),
            (None, false) => Err(Denied::UnknownKey),
        }
    }

    /// The accelerators that belong to an organisation.
    pub fn guaranteed(&self, organisation: &str) -> i64 {
        self.organisations
            .iter()
            .find(|o| o.name == organisation)
            .map_or(0, |o| o.guaranteed_accelerators)
    }
}
