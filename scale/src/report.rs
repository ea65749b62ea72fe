//! Output of results: tables for readers, and records in a file, one JSON object per line.

use crate::error::ScaleError;
use crate::provenance::Provenance;
use crate::statistics::SampleSummary;
use comfy_table::{presets, CellAlignment, Table};
use serde::Serialize;
use std::fs::Permissions;
use std::io::{self, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use tempfile::{Builder, NamedTempFile};

/// Permissions of the records file, before the umask is applied.
const RECORD_FILE_MODE: u32 = 0o666;

/// A records file that is written under a temporary name. Its path appears, or is replaced, only when it is
/// committed.
#[derive(Debug)]
pub struct RecordFile {
    path: PathBuf,
    temporary: NamedTempFile,
}

impl RecordFile {
    /// Creates the temporary file in the directory of `path`, so that an unwritable directory is reported before the
    /// experiment runs.
    pub fn create(path: &Path) -> Result<RecordFile, ScaleError> {
        let directory = match path.parent() {
            Some(directory) if directory != Path::new("") => directory,
            _ => Path::new("."),
        };
        let mode = Permissions::from_mode(RECORD_FILE_MODE);
        let temporary = Builder::new()
            .prefix(".scale-records-")
            .permissions(mode)
            .tempfile_in(directory)
            .map_err(|source| write_error(path, source))?;
        Ok(RecordFile { path: path.to_owned(), temporary })
    }

    /// Appends a record.
    pub fn write(&mut self, record: &impl Serialize) -> Result<(), ScaleError> {
        let mut line = serde_json::to_vec(record)?;
        line.push(b'\n');
        self.temporary.write_all(&line).map_err(|source| write_error(&self.path, source))
    }

    /// Syncs the file and renames it to its path.
    pub fn commit(self) -> Result<(), ScaleError> {
        let RecordFile { path, temporary } = self;
        temporary.as_file().sync_all().map_err(|source| write_error(&path, source))?;
        temporary.persist(&path).map_err(|failure| write_error(&path, failure.error))?;
        Ok(())
    }
}

fn write_error(path: &Path, source: io::Error) -> ScaleError {
    ScaleError::WriteRecords { path: path.to_owned(), source }
}

/// A record: the experiment, its provenance and what was measured.
#[derive(Debug, Serialize)]
pub struct Record<'a, Body> {
    experiment: &'static str,
    #[serde(flatten)]
    provenance: &'a Provenance,
    #[serde(flatten)]
    body: Body,
}

impl<'a, Body: Serialize> Record<'a, Body> {
    /// Creates a record of an experiment.
    pub fn new(experiment: &'static str, provenance: &'a Provenance, body: Body) -> Record<'a, Body> {
        Record { experiment, provenance, body }
    }
}

/// Formats a table with right-aligned columns.
pub fn table(header: &[&str], rows: impl IntoIterator<Item = Vec<String>>) -> String {
    let mut table = Table::new();
    table.load_style(presets::ASCII_MARKDOWN).set_header(header);
    for row in rows {
        table.add_row(row);
    }
    for column in table.column_iter_mut() {
        column.set_cell_alignment(CellAlignment::Right);
    }
    table.to_string()
}

/// Formats a summary for a table cell: the median, then minimum and maximum in brackets.
pub fn summary_cell(summary: SampleSummary) -> String {
    let SampleSummary { median, min, max } = summary;
    format!("{} [{}, {}]", number_cell(median), number_cell(min), number_cell(max))
}

/// Formats a number with about three significant digits, as an integer from 100 on.
pub fn number_cell(number: f64) -> String {
    let decimals = match number.abs() {
        size if size == 0.0 || size >= 100.0 => 0,
        size if size >= 10.0 => 1,
        size if size >= 1.0 => 2,
        size if size >= 0.1 => 3,
        _ => 4,
    };
    format!("{number:.decimals$}")
}
