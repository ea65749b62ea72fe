//! Tests of `scale all` through its binary, on small scenarios.

mod common;

use common::{records, TestDirectory};

const POLICY: &str = include_str!("common/small_policy.toml");
const DISCOVERY: &str = include_str!("common/small_discovery.toml");
const FLEET: &str = include_str!("common/small_fleet.toml");

#[test]
fn the_experiments_run_in_turn_and_each_writes_its_records() {
    let directory = TestDirectory::with_scenario(POLICY);
    directory.write("policy.toml", POLICY);
    directory.write("discovery.toml", DISCOVERY);
    directory.write("fleet.toml", FLEET);
    let only = "policy,discovery,fleet";
    let output = directory.scale(&["all", "--only", only, "--scenarios", ".", "--json", "."]);
    assert!(output.status.success(), "{output:?}");
    let printed = String::from_utf8(output.stdout).unwrap();
    for (experiment, title) in
        [("policy", "by listed destinations"), ("discovery", "silence"), ("fleet", "steady traffic")]
    {
        assert!(printed.contains(title), "{title}: {printed}");
        let records = records(&directory.read(&format!("{experiment}.jsonl")));
        assert!(!records.is_empty());
        assert!(records.iter().all(|record| record["command_line"][1] == "all"), "{records:?}");
    }
}

#[test]
fn an_invalid_scenario_stops_the_run_and_is_reported() {
    let directory = TestDirectory::with_scenario(POLICY);
    directory.write("policy.toml", &POLICY.replacen("seed = 7", "sede = 7", 1));
    let output = directory.scale(&["all", "--scenarios", "."]);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let error = String::from_utf8(output.stderr).unwrap();
    assert!(error.starts_with("scale: ./policy.toml:1: sede: "), "{error}");
}
