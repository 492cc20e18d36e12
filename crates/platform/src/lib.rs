//! Clients of the platform's services: key-value service, VM list and workers.
//!
//! Each external service is a small trait, which a reqwest client implements. Tests and the
//! development mode use the same clients with a simulated platform on loopback.

pub mod budget;
pub mod budgeted;
pub mod error;
mod http;
pub mod http_store;
pub mod http_vm_list;
pub mod http_worker;
mod pool;
mod runs;
pub mod store;
pub mod vm_list;
pub mod wire;
pub mod worker;
