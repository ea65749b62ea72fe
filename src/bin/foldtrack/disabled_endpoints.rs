//! Stores the names of the endpoints that operators have disabled in a file that survives the process.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// Disk space that the old and the new file may take up together during a change. The write-ahead log leaves it free.
pub(crate) const RESERVED_BYTES: u64 = 16 * 1024;

/// The names of the disabled endpoints, and the file that stores them.
#[derive(Debug)]
pub(crate) struct DisabledEndpoints {
    path: PathBuf,
    names: BTreeSet<String>,
}

impl DisabledEndpoints {
    pub fn open(directory: &Path) -> io::Result<DisabledEndpoints> {
        let path = directory.join("out");
        // Left over from a change that the end of the process interrupted: its request got no response.
        let _ = std::fs::remove_file(path.with_extension("new"));
        let names = match std::fs::read(&path) {
            Ok(bytes) => serde_json::from_slice(&bytes)?,
            Err(error) if error.kind() == io::ErrorKind::NotFound => BTreeSet::new(),
            Err(error) => return Err(error),
        };
        Ok(DisabledEndpoints { path, names })
    }

    pub fn contains(&self, name: &str) -> bool {
        self.names.contains(name)
    }

    /// Records whether an endpoint is disabled. On an error nothing has changed.
    pub fn set_disabled(&mut self, name: &str, disabled: bool) -> io::Result<()> {
        if self.names.contains(name) == disabled {
            return Ok(());
        }
        let mut names = self.names.clone();
        if disabled {
            names.insert(name.to_string());
        } else {
            names.remove(name);
        }
        let text = serde_json::to_vec(&names)?;
        if 2 * text.len().next_multiple_of(512) as u64 > RESERVED_BYTES {
            return Err(io::Error::other("too many endpoints are out"));
        }
        let new = self.path.with_extension("new");
        std::fs::write(&new, text)?;
        std::fs::rename(&new, &self.path)?;
        self.names = names;
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn disabled_endpoints_survive_restarts_in_a_bounded_file() {
        let directory = tempfile::tempdir().unwrap();
        let mut endpoints = DisabledEndpoints::open(directory.path()).unwrap();
        endpoints.set_disabled("s-1", true).unwrap();
        endpoints.set_disabled("s-2", true).unwrap();
        endpoints.set_disabled("s-2", true).unwrap();
        endpoints.set_disabled("s-2", false).unwrap();
        let mut endpoints = DisabledEndpoints::open(directory.path()).unwrap();
        assert!(endpoints.contains("s-1") && !endpoints.contains("s-2"));
        let full = (0..).find(|n| endpoints.set_disabled(&format!("{n:0100}"), true).is_err());
        assert!(full.is_some_and(|n| n > 50), "{full:?}");
        let on_disk: u64 =
            std::fs::read_dir(directory.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(2 * on_disk <= RESERVED_BYTES);
    }
}
