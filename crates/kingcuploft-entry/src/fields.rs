//! Parses settings: lines of the form `a.b=value`, with errors that name file, line and field.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The longest time that settings can name, in seconds: a year. Sums of a few of them stay within what clocks can hold.
const MAX_TIME_S: f64 = 365.0 * 24.0 * 3600.0;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("{}: {}", .0.display(), .1)]
    File(PathBuf, std::io::Error),
    /// The last line has no end: the file may still be written.
    #[error("{}: the last line has no end yet", .0.display())]
    Unended(PathBuf),
    /// A line is not of the form `a.b=value`.
    #[error("{}:{}: not of the form a.b=value", .0.display(), .1)]
    Line(PathBuf, usize),
    /// A field is missing.
    #[error("{}: field {} is missing", .0.display(), .1)]
    Missing(PathBuf, &'static str),
    /// A field holds a value of another kind than it should.
    #[error("{}:{line}: field {field}: '{value}' is not {wanted}", path.display())]
    Value {
        /// The path of the file.
        path: PathBuf,
        /// The number of the line, from 1.
        line: usize,
        /// The name of the field.
        field: &'static str,
        /// The value that it holds.
        value: String,
        /// What it should hold, in words.
        wanted: &'static str,
    },
}

/// The fields of a settings file, by name.
#[derive(Debug)]
pub struct Fields<'a> {
    path: &'a Path,
    by_name: BTreeMap<&'a str, (usize, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Parses the lines of `text`; `path` is used in errors only.
    ///
    /// # Errors
    ///
    /// Returns an error if a line is not of the form `a.b=value`.
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

    /// Returns the text of a mandatory field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or empty.
    pub fn required_text(&self, field: &'static str) -> Result<&'a str, SettingsError> {
        let found = self
            .by_name
            .get(field)
            .filter(|(_, value)| !value.is_empty());
        let missing = || SettingsError::Missing(self.path.into(), field);
        found.map(|(_, value)| *value).ok_or_else(missing)
    }

    /// Returns the value of an optional field; `wanted` says in errors what the field should hold.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be parsed.
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

    /// Returns the value of a mandatory field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or its value can't be parsed.
    pub fn required<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<T, SettingsError> {
        let found = self.optional(field, wanted)?;
        found.ok_or_else(|| SettingsError::Missing(self.path.into(), field))
    }

    /// Returns the values of a comma-separated field; none if the field is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the values can't be parsed.
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

    /// Returns the fields whose names begin with `prefix`: the rest of each name, and the value.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let fields = self.by_name.iter();
        let under = fields.filter_map(move |(name, (_, value))| {
            name.strip_prefix(prefix).map(|rest| (rest, *value))
        });
        under.collect::<Vec<_>>().into_iter()
    }

    /// Returns a number that is not negative, or `default` if the field is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the field holds anything else.
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

    /// Returns a limit of the machine, or `default` if the field is missing or 0, which names no limit.
    ///
    /// # Errors
    ///
    /// Returns an error if the field holds anything but a number that is not negative.
    pub fn limit(&self, field: &'static str, default: f64) -> Result<f64, SettingsError> {
        let limit = self.number(field, default)?;
        Ok(match limit > 0.0 {
            true => limit,
            false => default,
        })
    }

    /// Returns a duration given in seconds, or `default` seconds if the field is missing; a longer time than a year
    /// counts as a year.
    ///
    /// # Errors
    ///
    /// Returns an error if the field holds anything but a number that is not negative.
    pub fn seconds(&self, field: &'static str, default: f64) -> Result<Duration, SettingsError> {
        let seconds = self.number(field, default)?;
        Ok(Duration::from_secs_f64(seconds.min(MAX_TIME_S)))
    }
}
