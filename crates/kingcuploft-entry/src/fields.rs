//! Settings as lines of the form `a.b=value`, with errors that name file, line and field.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {}", .0.display(), .1)]
    File(PathBuf, std::io::Error),
    /// A line is not of the form `a.b=value`.
    #[error("{}:{}: not of the form a.b=value", .0.display(), .1)]
    Line(PathBuf, usize),
    /// A field is missing.
    #[error("{}: field {} is missing", .0.display(), .1)]
    Missing(PathBuf, &'static str),
    /// A field holds something else than it should.
    #[error("{}:{line}: field {field}: '{value}' is not {wanted}", path.display())]
    Value {
        /// The file.
        path: PathBuf,
        /// The line.
        line: usize,
        /// The field.
        field: &'static str,
        /// What it holds.
        value: String,
        /// What it should hold.
        wanted: &'static str,
    },
}

/// The fields of a settings file.
#[derive(Debug)]
pub struct Fields<'a> {
    path: &'a Path,
    by_name: BTreeMap<&'a str, (usize, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Reads lines; `path` is for errors only.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not of the form.
    pub fn parse(path: &'a Path, text: &'a str) -> Result<Self, SettingsError> {
        let mut by_name = BTreeMap::new();
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let pair = line.split_once('=');
            let (name, value) = pair.ok_or_else(|| SettingsError::Line(path.into(), at + 1))?;
            by_name.insert(name.trim(), (at + 1, value.trim()));
        }
        Ok(Self { path, by_name })
    }

    /// Returns a field that must be there.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not, or is empty.
    pub fn required_text(&self, field: &'static str) -> Result<&'a str, SettingsError> {
        let found = self
            .by_name
            .get(field)
            .filter(|(_, value)| !value.is_empty());
        let missing = || SettingsError::Missing(self.path.into(), field);
        found.map(|(_, value)| *value).ok_or_else(missing)
    }

    /// Returns a field, if it is there; `wanted` says in errors what it should hold.
    ///
    /// # Errors
    ///
    /// Returns an error if it holds something else.
    pub fn optional<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let found = self
            .by_name
            .get(field)
            .filter(|(_, value)| !value.is_empty());
        let Some((line, value)) = found else {
            return Ok(None);
        };
        let parsed = value.parse().map_err(|_| SettingsError::Value {
            path: self.path.into(),
            line: *line,
            field,
            value: (*value).into(),
            wanted,
        })?;
        Ok(Some(parsed))
    }

    /// Returns a field that must be there.
    ///
    /// # Errors
    ///
    /// Returns an error if it is not, or holds something else.
    pub fn required<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        let found = self.optional(field, wanted)?;
        found.ok_or_else(|| SettingsError::Missing(self.path.into(), field))
    }

    /// Returns what is joined by commas; nothing if the field is not there.
    ///
    /// # Errors
    ///
    /// Returns an error if a part holds something else.
    pub fn list<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Vec<T>, SettingsError> {
        let Some((line, value)) = self.by_name.get(field) else {
            return Ok(Vec::new());
        };
        let parts = value.split(',').map(str::trim);
        let parsed = parts.filter(|part| !part.is_empty()).map(|part| {
            part.parse().map_err(|_| SettingsError::Value {
                path: self.path.into(),
                line: *line,
                field,
                value: part.into(),
                wanted,
            })
        });
        parsed.collect()
    }

    /// Returns the fields whose names begin so: the rest of each name, and what it holds.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let fields = self.by_name.iter();
        let under = fields.filter_map(move |(name, (_, value))| {
            name.strip_prefix(prefix).map(|rest| (rest, *value))
        });
        under.collect::<Vec<_>>().into_iter()
    }

    /// Returns a number that is not negative, or the usual one if the field is not there.
    ///
    /// # Errors
    ///
    /// Returns an error if it holds something else.
    pub fn number(&self, field: &'static str, default: f64) -> Result<f64, SettingsError> {
        let wanted = "a number that is not negative";
        let number: f64 = self.optional(field, wanted)?.unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return Ok(number);
        }
        let (line, value) = self.by_name[field];
        Err(SettingsError::Value {
            path: self.path.into(),
            line,
            field,
            value: value.into(),
            wanted,
        })
    }

    /// Returns a time, or the usual one, in seconds, if the field is not there.
    ///
    /// # Errors
    ///
    /// Returns an error if it holds something else.
    pub fn seconds(&self, field: &'static str, default: f64) -> Result<Duration, SettingsError> {
        Ok(Duration::from_secs_f64(self.number(field, default)?))
    }
}
