//! Experiments that measure what the delivery policy and the discovery client cost as a deployment grows.
//!
//! Each experiment is a subcommand of the `scale` command: a module and a variant of [`cli::Command`]. All
//! experiments share the other modules.

pub mod all_experiments;
pub mod arguments;
pub mod bounded_integer;
pub mod call;
pub mod cli;
pub mod cpu_clock;
pub mod deployment;
pub mod discovery;
pub mod error;
pub mod fleet;
pub mod instance;
pub mod interrupt;
pub mod memory;
pub mod policy;
pub mod policy_under_test;
pub mod process_usage;
pub mod progress;
pub mod provenance;
pub mod report;
pub mod scenario;
pub mod service_time;
pub mod statistics;
