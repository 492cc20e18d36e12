//! Logs and metrics.

pub(crate) mod logs;
pub(crate) mod metrics;
