//! Simulated platform and workers in one process, with faults that can be switched on and off, for
//! development and tests.
//!
//! A [`site::Site`] serves the platform's key-value service and VM list, the workers and the links
//! between data centres on loopback. The state of each simulated service is a core without I/O that
//! takes the time as an argument; thin HTTP servers wrap the cores.

pub mod audit;
pub mod checkpoint;
mod clock;
mod connection;
mod fault_switches;
pub mod faults;
mod held_lease;
pub mod lease_table;
pub mod links;
mod platform_server;
pub mod request_table;
mod respond;
pub mod site;
mod site_spec;
pub mod store_core;
mod store_service;
pub mod task;
pub mod vm_list_core;
mod worker;
mod worker_server;
