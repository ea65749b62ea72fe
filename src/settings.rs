//! Reads the settings of a deployment from JSON and converts them to [`Settings`]. Unknown keys are ignored.

use crate::{
    Class, DeduplicationScope, DestinationContract, ListedRate, Micros, RetrySafety, Settings, WorthDecay,
};
use serde::Deserialize;

/// The JSON document. Its keys are the names of the fields of this type and of the sections.
#[derive(Deserialize)]
struct SettingsDocument {
    balancers: u32,
    categories: Vec<CategorySection>,
    #[serde(default)]
    contract: ContractSection,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    family_info: FamilyInfoSection,
    limits: LimitsSection,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    report: ReportSection,
    #[serde(default)]
    tick: Micros,
    #[serde(default)]
    weight_source: String,
}

#[derive(Deserialize)]
struct CategorySection {
    aim: Micros,
    deadline: Micros,
    #[serde(default)]
    effect: String,
    #[serde(default)]
    group: String,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    name: String,
    #[serde(default)]
    one_at_a_time: bool,
    #[serde(default)]
    streaming: bool,
    #[serde(default)]
    window: Micros,
    #[serde(default)]
    worth: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ContractSection {
    ask_within: Micros,
    cold_from: f64,
    order_pause: Micros,
    ramp_time: Micros,
    stop_sending_within: Micros,
    tip_after: Micros,
    tip_multiple: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct FamilyInfoSection {
    batch_by_kind: Vec<u32>,
    decay: String,
    own_limits: Vec<bool>,
    refused_price: f64,
    slots: u32,
    zone_fee: Vec<f64>,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct LimitsSection {
    conn_idle: Micros,
    dial_timeout: Micros,
    max_open: u32,
    max_retry_after: Micros,
    may_cancel: bool,
    may_duplicate: bool,
    may_probe: bool,
    retry_after: bool,
    streams_per_conn: u32,
    try_limit: u32,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct ReportSection {
    fields: Vec<String>,
}

/// The settings of a deployment, the names that they define, and the positions of the two values of a limit
/// report.
#[derive(Debug, Deserialize)]
#[serde(from = "SettingsDocument")]
pub struct DeploymentSettings {
    /// Settings of the delivery policy.
    pub settings: Settings,
    /// Names of the classes of message, by index.
    pub class_names: Vec<String>,
    /// Names of the kinds of destination, by index.
    pub kind_names: Vec<String>,
    /// Names of the zones, by index.
    pub zone_names: Vec<String>,
    /// Position of the share that is left in a limit report.
    pub share_left_index: Option<usize>,
    /// Position of the limit's rate in a limit report.
    pub rate_index: Option<usize>,
}

impl DeploymentSettings {
    /// The number of a zone. A zone that the settings do not name is valid as well: its number is derived
    /// from its name, so that it is the same in each process, and is greater than those of all named zones.
    pub fn zone_number(&self, name: &str) -> u32 {
        const UNNAMED_ZONE_BIT: u32 = 1 << 30;
        let named = self.zone_names.iter().position(|zone_name| zone_name == name);
        named.map_or_else(|| UNNAMED_ZONE_BIT | crc32fast::hash(name.as_bytes()) >> 2, |index| index as u32)
    }
}

impl From<SettingsDocument> for DeploymentSettings {
    fn from(document: SettingsDocument) -> Self {
        let position = |name: &str| document.report.fields.iter().position(|field| field == name);
        let (share_left_index, rate_index) = (position("x0"), position("x1"));
        let class_names = document.categories.iter().map(|category| category.name.clone()).collect();
        let classes = document.categories.iter().map(|category| Class {
            aim: category.aim,
            deadline: category.deadline,
            worth: category.worth,
            late_value: category.late_value,
            retry_safety: match category.effect.as_str() {
                "repeatable" => RetrySafety::Repeatable,
                "by_key" => RetrySafety::Keyed,
                _ => RetrySafety::Unsafe,
            },
            deduplication_scope: if category.group == "all" {
                DeduplicationScope::All
            } else {
                DeduplicationScope::Zone
            },
            deduplication_window: category.window,
            in_order: category.one_at_a_time,
            streaming: category.streaming,
        });
        let settings = Settings {
            replicas: document.balancers,
            slots: document.family_info.slots,
            max_held: document.limits.max_open,
            max_attempts: document.limits.try_limit,
            may_cancel: document.limits.may_cancel,
            may_probe: document.limits.may_probe,
            may_duplicate: document.limits.may_duplicate,
            may_send_retry_after: document.limits.retry_after,
            max_retry_after: document.limits.max_retry_after,
            subscribe_to_discovery: document.discovery == "on_request",
            classes: classes.collect(),
            decay: if document.family_info.decay == "halving" {
                WorthDecay::Halving
            } else {
                WorthDecay::Linear
            },
            contract: DestinationContract {
                drain_grace: document.contract.stop_sending_within,
                cold_capacity_share: document.contract.cold_from,
                ramp_time: document.contract.ramp_time,
                overload_factor: document.contract.tip_multiple,
                overload_duration: document.contract.tip_after,
                order_pause: document.contract.order_pause,
                max_list_poll_interval: document.contract.ask_within,
            },
            batch_by_kind: document.family_info.batch_by_kind,
            route_per_endpoint: document.family_info.own_limits,
            zone_fee: document.family_info.zone_fee,
            refused_price: document.family_info.refused_price,
            listed_rate: match document.weight_source.as_str() {
                "nominal" => ListedRate::Exact,
                "rough" => ListedRate::Rough,
                _ => ListedRate::Unknown,
            },
            connection_idle_timeout: document.limits.conn_idle,
            connect_timeout: document.limits.dial_timeout,
            streams_per_connection: document.limits.streams_per_conn,
            tick: document.tick,
        };
        DeploymentSettings {
            settings,
            class_names,
            kind_names: document.machine_types,
            zone_names: document.dcs,
            share_left_index,
            rate_index,
        }
    }
}
