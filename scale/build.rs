//! Embeds the commit that the tool is built from, for the provenance of its results.

use std::process::Command;

const UNKNOWN_COMMIT: &str = "unknown";

fn main() {
    println!("cargo:rerun-if-changed=build.rs");
    println!("cargo:rerun-if-changed=src");
    println!("cargo:rerun-if-changed=../src");
    println!("cargo:rerun-if-changed=../Cargo.lock");
    // The log of HEAD changes with every commit and checkout.
    if let Some(head_log) = git(&["rev-parse", "--path-format=absolute", "--git-path", "logs/HEAD"]) {
        println!("cargo:rerun-if-changed={head_log}");
    }
    println!("cargo:rustc-env=SCALE_COMMIT={}", commit());
}

/// Returns the commit of HEAD, with the suffix `-dirty` if tracked files differ from it.
fn commit() -> String {
    let Some(commit) = git(&["rev-parse", "HEAD"]) else { return UNKNOWN_COMMIT.to_owned() };
    let changes = git(&["status", "--porcelain", "--untracked-files=no"]);
    match changes.as_deref() {
        Some("") => commit,
        _ => format!("{commit}-dirty"),
    }
}

/// Returns the output of a git command; `None` if git or the repository is missing.
fn git(arguments: &[&str]) -> Option<String> {
    let output = Command::new("git").args(arguments).output().ok()?;
    let text = String::from_utf8(output.stdout).ok()?;
    output.status.success().then(|| text.trim().to_owned())
}
