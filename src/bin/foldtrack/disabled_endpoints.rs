//! The endpoints that operators have taken out, by name, in a file that outlasts the process.

use std::collections::BTreeSet;
use std::io;
use std::path::{Path, PathBuf};

/// The file's most bytes while it is replaced, old and new together; the journal leaves them free.
pub(crate) const RESERVED_BYTES: u64 = 16 * 1024;

#[derive(Debug)]
pub(crate) struct DisabledEndpoints {
    path: PathBuf,
    names: BTreeSet<String>,
}

impl DisabledEndpoints {
    pub fn open(folder: &Path) -> io::Result<DisabledEndpoints> {
        let path = folder.join("out");
        // A change that the process did not live to finish: its call was not answered.
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

    /// Notes that an endpoint is out, or is not; fails, without effect, where that cannot be kept.
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
    fn what_is_out_stays_out_over_restarts_and_the_file_is_bounded() {
        let folder = tempfile::tempdir().unwrap();
        let mut out = DisabledEndpoints::open(folder.path()).unwrap();
        out.set_disabled("s-1", true).unwrap();
        out.set_disabled("s-2", true).unwrap();
        out.set_disabled("s-2", true).unwrap();
        out.set_disabled("s-2", false).unwrap();
        let mut out = DisabledEndpoints::open(folder.path()).unwrap();
        assert!(out.contains("s-1") && !out.contains("s-2"));
        let full = (0..).find(|n| out.set_disabled(&format!("{n:0100}"), true).is_err());
        assert!(full.is_some_and(|n| n > 50), "{full:?}");
        let on_disk: u64 =
            std::fs::read_dir(folder.path()).unwrap().map(|f| f.unwrap().metadata().unwrap().len()).sum();
        assert!(2 * on_disk <= RESERVED_BYTES);
    }
}
