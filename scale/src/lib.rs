//! Experiments that measure what the delivery policy costs as a deployment grows.
//!
//! Each experiment is a subcommand of the `scale` command: a module of its own and a variant of
//! [`cli::Command`]. The other modules are what all experiments share.

pub mod cli;
pub mod clock;
pub mod error;
pub mod instance;
pub mod interrupt;
pub mod memory;
pub mod policy;
pub mod process;
pub mod progress;
pub mod provenance;
pub mod range;
pub mod report;
pub mod scenario;
pub mod statistics;
