//! The declared configuration in force: queues, services and organisations.

use serde::{Deserialize, Serialize};

/// A policy by which an external service decides which workers may run a step, and issues tickets for them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advice {
    /// How long the service takes for a call.
    pub decide_ms: u64,
    /// How much longer it takes for each worker in the call.
    pub each_worker_ms: u64,
    /// How long a ticket is valid.
    pub valid_ms: u64,
}

impl Advice {
    /// Returns how long the service takes for a query about this many workers.
    pub fn query_ms(&self, workers: usize) -> u64 {
        let each_ms = self.each_worker_ms.saturating_mul(workers as u64);
        self.decide_ms.saturating_add(each_ms)
    }
}

/// A queue to which callers submit jobs.
#[derive(Debug, Clone, PartialEq)]
pub struct Queue {
    /// Name of the queue.
    pub name: String,
    /// Host name in the caller's request.
    pub host: String,
    /// Prefix of the request paths that belong to the queue.
    pub path_prefix: String,
    /// The service whose workers run its tasks.
    pub service: String,
    /// Priority of its jobs; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs after which a task is not retried.
    pub attempts: u32,
    /// A job is on time if it takes no longer than this percentage of its longest chain of work, ...
    pub stretch_percent: u32,
    /// ... plus this time.
    pub goal_ms: u64,
    /// Whether callers need no key.
    pub public: bool,
    /// The policy that decides which workers may run a step, if there is one.
    pub advice: Option<Advice>,
}

/// A service: a class of workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    /// Name of the service.
    pub name: String,
    /// Whether its workers refuse a run that exceeds their capacity.
    pub refuses_overload: bool,
    /// Whether its machines are a reserve that is kept switched off.
    pub reserve: bool,
}

/// An organisation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Organisation {
    /// Name of the organisation.
    pub name: String,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Accelerators that are guaranteed to its jobs of priority 0 at all times.
    pub guaranteed_accelerators: i64,
}

/// Limits on request bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum body size, in bytes.
    pub body_bytes: usize,
}

/// The configuration in force.
#[derive(Debug, Clone, PartialEq)]
pub struct Configuration {
    /// Version of the configuration.
    pub version: u64,
    /// All queues, the longest path prefix first.
    pub queues: Vec<Queue>,
    /// All services.
    pub services: Vec<Service>,
    /// All organisations.
    pub organisations: Vec<Organisation>,
    /// Limits on request bodies.
    pub limits: BodyLimits,
}

/// Why a call is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Denied {
    /// No queue has this host and path.
    NoQueue,
    /// The key belongs to no organisation.
    UnknownKey,
}

impl Configuration {
    /// Returns the queue of a host and path with the longest matching prefix, and the rest of the path.
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

    /// Returns the queue with this name.
    pub fn find_queue_by_name(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the organisation that a key belongs to.
    pub fn find_organisation(&self, key: &str) -> Option<&Organisation> {
        self.organisations
            .iter()
            .find(|organisation| organisation.keys.iter().any(|known| known == key))
    }

    /// Returns the name of the caller's organisation; empty for a public queue without a known key.
    ///
    /// Fails with [`Denied::UnknownKey`] if the queue is not public and no organisation has the key.
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

    /// Returns the accelerators guaranteed to an organisation; 0 for an unknown one.
    pub fn guaranteed(&self, organisation: &str) -> i64 {
        self.organisations
            .iter()
            .find(|o| o.name == organisation)
            .map_or(0, |o| o.guaranteed_accelerators)
    }
}
