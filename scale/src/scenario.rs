//! Scenario files in TOML. Errors name the file, the line and the key.

use serde::de::DeserializeOwned;
use std::io;
use std::ops::Range;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a scenario file cannot be used.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Underlying I/O error.
        source: io::Error,
    },
    /// The file is not valid TOML, has an unknown key or has a value that does not fit.
    #[error("{}:{line}: {key}: {reason}", path.display())]
    Invalid {
        /// Path of the file.
        path: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// The key, with the tables that contain it.
        key: String,
        /// Why the value is rejected.
        reason: String,
    },
}

/// The text of a scenario file and its path.
#[derive(Clone, Debug)]
pub struct ScenarioFile {
    path: PathBuf,
    text: String,
}

impl ScenarioFile {
    /// Reads the file at `path`, or uses the built-in scenario if there is no path.
    pub fn load(
        path: Option<&Path>, built_in_name: &str, built_in_text: &str,
    ) -> Result<ScenarioFile, ScenarioError> {
        match path {
            Some(path) => ScenarioFile::read(path),
            None => Ok(ScenarioFile::built_in(built_in_name, built_in_text)),
        }
    }

    /// Returns a built-in scenario.
    pub fn built_in(name: &str, text: &str) -> ScenarioFile {
        ScenarioFile { path: PathBuf::from(name), text: text.to_owned() }
    }

    /// Reads a scenario file.
    pub fn read(path: &Path) -> Result<ScenarioFile, ScenarioError> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.to_owned(), source })?;
        Ok(ScenarioFile { path: path.to_owned(), text })
    }

    /// Returns the path that errors name.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Parses the text into a scenario.
    pub fn parse<T: DeserializeOwned>(&self) -> Result<T, ScenarioError> {
        let deserializer =
            toml::Deserializer::parse(&self.text).map_err(|error| self.invalid("(syntax)", &error))?;
        serde_path_to_error::deserialize(deserializer).map_err(|error| {
            let key = error.path().to_string();
            self.invalid(&key, error.inner())
        })
    }

    /// Creates an error at a position of the text.
    pub fn error_at(&self, span: Range<usize>, key: &str, reason: impl Into<String>) -> ScenarioError {
        let before = &self.text.as_bytes()[..span.start.min(self.text.len())];
        let line = 1 + before.iter().filter(|byte| **byte == b'\n').count();
        ScenarioError::Invalid { path: self.path.clone(), line, key: key.to_owned(), reason: reason.into() }
    }

    fn invalid(&self, key: &str, error: &toml::de::Error) -> ScenarioError {
        let reason = error.message().replace('\n', " ");
        self.error_at(error.span().unwrap_or(0..0), key, reason)
    }
}
