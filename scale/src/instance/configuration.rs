//! The forwarder's configuration file.

use crate::instance::plan::{Plan, Point};
use serde::Serialize;
use std::net::SocketAddr;

/// The only zone of the deployment.
pub(super) const ZONE: &str = "zone-a";
/// The only kind of destination.
pub(super) const KIND: &str = "kind-a";
/// Class of the requests whose CPU cost is measured.
pub(super) const REQUEST_CLASS: &str = "interactive";
/// Class of the messages that the forwarder holds.
pub(super) const HELD_CLASS: &str = "bulk";
pub(super) const REQUEST_DEADLINE_MS: u64 = 20_000;
pub(super) const HELD_DEADLINE_MS: u64 = 7_200_000;
const MICROS_PER_MILLI: u64 = 1_000;
const MEMORY_MB: u64 = 2_048;

/// Addresses of a forwarder and of the discovery service that it uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct Addresses {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Address of the admin server.
    pub admin: SocketAddr,
    pub discovery: SocketAddr,
}

/// The configuration file. The forwarder reads its fields by these names.
#[derive(Debug, Serialize)]
pub(super) struct Configuration {
    name: String,
    listen: SocketAddr,
    admin: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: MachineLimits,
    settings: Settings,
}

/// Resources that the forwarder may use.
#[derive(Debug, Serialize)]
struct MachineLimits {
    cores: f64,
    memory_mb: u64,
    sockets: u64,
    disk_mb: u64,
}

/// Delivery settings, the same for all forwarders of the deployment.
#[derive(Debug, Serialize)]
struct Settings {
    balancers: u64,
    categories: [Category; 2],
    contract: Contract,
    dcs: [&'static str; 1],
    machine_types: [&'static str; 1],
    discovery: &'static str,
    family_info: FamilyInfo,
    limits: DeliveryLimits,
    tick: u64,
    weight_source: &'static str,
}

/// A class of messages.
#[derive(Debug, Serialize)]
struct Category {
    name: &'static str,
    aim: u64,
    deadline: u64,
    worth: f64,
    late_value: f64,
    effect: &'static str,
}

/// Obligations of the forwarder towards destinations and discovery.
#[derive(Debug, Serialize)]
struct Contract {
    ask_within: u64,
    cold_from: f64,
    order_pause: u64,
    ramp_time: u64,
    stop_sending_within: u64,
    tip_after: u64,
    tip_multiple: f64,
}

/// Settings of the destinations by kind and zone.
#[derive(Debug, Serialize)]
struct FamilyInfo {
    batch_by_kind: [u32; 1],
    own_limits: [bool; 1],
    slots: u64,
    zone_fee: [f64; 1],
}

/// Limits on connections, attempts and accepted messages.
#[derive(Debug, Serialize)]
struct DeliveryLimits {
    conn_idle: u64,
    dial_timeout: u64,
    may_cancel: bool,
    max_open: u64,
    streams_per_conn: u64,
    try_limit: u64,
}

impl Configuration {
    /// The configuration of the forwarder with this index at a point.
    pub fn new(plan: &Plan, point: &Point, index: u64, addresses: Addresses) -> Configuration {
        Configuration {
            name: format!("n{index}"),
            listen: addresses.listen,
            admin: addresses.admin,
            discovery: addresses.discovery,
            seed: format!("{:016x}", plan.seed.wrapping_add(index)),
            limits: MachineLimits {
                cores: 1.0,
                memory_mb: MEMORY_MB,
                sockets: plan.forwarder.sockets.get(),
                disk_mb: plan.forwarder.disk_mb.get(),
            },
            settings: settings(plan, point),
        }
    }
}

/// The settings of a typical deployment, with the scenario's limits. Durations are in microseconds.
fn settings(plan: &Plan, point: &Point) -> Settings {
    let request = Category {
        name: REQUEST_CLASS,
        aim: 2_000 * MICROS_PER_MILLI,
        deadline: REQUEST_DEADLINE_MS * MICROS_PER_MILLI,
        worth: 1.0,
        late_value: 0.5,
        effect: "repeatable",
    };
    let held = Category {
        name: HELD_CLASS,
        aim: 600_000 * MICROS_PER_MILLI,
        deadline: HELD_DEADLINE_MS * MICROS_PER_MILLI,
        worth: 0.1,
        late_value: 0.5,
        effect: "repeatable",
    };
    Settings {
        balancers: point.processes,
        categories: [request, held],
        contract: contract(),
        dcs: [ZONE],
        machine_types: [KIND],
        discovery: "pushed",
        family_info: FamilyInfo {
            batch_by_kind: [1],
            own_limits: [false],
            slots: plan.forwarder.slots.get(),
            zone_fee: [0.0],
        },
        limits: DeliveryLimits {
            conn_idle: 15_000 * MICROS_PER_MILLI,
            dial_timeout: 1_000 * MICROS_PER_MILLI,
            may_cancel: true,
            max_open: plan.forwarder.max_open.get(),
            streams_per_conn: 1,
            try_limit: plan.forwarder.max_attempts.get(),
        },
        tick: MICROS_PER_MILLI,
        weight_source: "nominal",
    }
}

fn contract() -> Contract {
    Contract {
        ask_within: 10_000 * MICROS_PER_MILLI,
        cold_from: 0.2,
        order_pause: 100 * MICROS_PER_MILLI,
        ramp_time: 10_000 * MICROS_PER_MILLI,
        stop_sending_within: 1_000 * MICROS_PER_MILLI,
        tip_after: 1_500 * MICROS_PER_MILLI,
        tip_multiple: 2.5,
    }
}
