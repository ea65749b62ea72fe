//! Plays one case of the second review: `trial-2 CASE FOLDER`, from the root of the repository. The exit status is 1 if
//! the rule was broken, 0 if it held and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod net;
mod trials;
mod world;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use world::Record;

/// What a trial works with.
pub struct Trial {
    /// The root of the repository.
    pub root: PathBuf,
    /// A folder of its own, removed afterwards.
    pub folder: PathBuf,
    pub record: std::sync::Arc<Record>,
    /// Whether the disruption is played.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("trial-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = std::env::temp_dir().join(format!("trial-2-{case}-{}", std::process::id()));
    let root = std::env::current_dir().expect("the root of the repository");
    let trial = Trial { root, folder: folder.clone(), record: record.clone(), trouble };
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| trials::play(case, &trial)));
    let result = played.unwrap_or_else(|_| Err("the trial itself failed".into()));
    let _ = std::fs::remove_dir_all(&folder);
    let (text, code) = match result {
        Ok(broken) if broken.is_empty() => ("held".to_string(), 0),
        Ok(broken) => (format!("broken: {}", broken.join("; ")), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
