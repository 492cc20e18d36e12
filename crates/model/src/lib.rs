//! Checked domain types shared by all packages of the workspace.
//!
//! Nothing here does I/O, reads a clock or generates random numbers. Times are milliseconds since
//! an epoch that the caller chooses, and their names end in `_ms`.

pub mod class;
pub mod document;
pub mod finding;
pub mod ident;
pub mod job;
pub mod lease;
pub mod name;
pub mod nearest;
pub mod organisation;
pub mod outcome;
pub mod prelude;
pub mod reason;
pub mod shape;
pub mod work;
