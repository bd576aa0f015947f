//! Parses settings: lines of the form `a.b=value`, with errors that name file, line and field. A field that the VM can do
//! without and that can't be used counts as missing, and its error is kept.

#![deny(clippy::arithmetic_side_effects)]

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The longest time that settings can name, in seconds: a year. Sums of a few of them stay within what clocks can hold.
const MAX_TIME_S: f64 = 365.0 * 24.0 * 3600.0;

/// A mark that some writers put before the first line.
const BYTE_ORDER_MARK: char = '\u{feff}';

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
    unusable: RefCell<Vec<SettingsError>>,
}

impl<'a> Fields<'a> {
    /// Parses the lines of `text`, which may begin with a byte order mark; `path` is used in errors only.
    pub fn parse(path: &'a Path, text: &'a str) -> Self {
        let mut by_name = BTreeMap::new();
        let mut unusable = Vec::new();
        let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(text);
        for (at, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            match line.split_once('=') {
                Some((name, value)) => {
                    by_name.insert(name.trim(), (at + 1, value.trim()));
                }
                None => unusable.push(SettingsError::Line(path.into(), at + 1)),
            }
        }
        Self {
            path,
            by_name,
            unusable: unusable.into(),
        }
    }

    /// Returns why fields that were asked for since this was called before could not be used.
    pub fn take_unusable(&self) -> Vec<SettingsError> {
        self.unusable.take()
    }

    fn found(&self, field: &'static str) -> Option<(usize, &'a str)> {
        let found = self.by_name.get(field).copied();
        found.filter(|(_, value)| !value.is_empty())
    }

    /// Returns the text of a mandatory field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or empty.
    pub fn required_text(&self, field: &'static str) -> Result<&'a str, SettingsError> {
        let missing = || SettingsError::Missing(self.path.into(), field);
        let (line, value) = self.found(field).ok_or_else(missing)?;
        match value.contains(char::REPLACEMENT_CHARACTER) {
            true => Err(self.wrong(line, field, value, "text")),
            false => Ok(value),
        }
    }

    /// Returns the value of a field that may be missing but must be usable; `wanted` says in errors what it should hold.
    ///
    /// # Errors
    ///
    /// Returns an error if the value can't be parsed.
    pub fn usable<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Result<Option<T>, SettingsError> {
        let parse = |(line, value): (usize, &str)| {
            let parsed = value.parse();
            parsed.map_err(|_| self.wrong(line, field, value, wanted))
        };
        self.found(field).map(parse).transpose()
    }

    /// Returns the value of a field that the VM can do without.
    pub fn optional<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> Option<T> {
        let value = self.usable(field, wanted);
        value.unwrap_or_else(|error| {
            self.unusable.borrow_mut().push(error);
            None
        })
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
        let found = self.usable(field, wanted)?;
        found.ok_or_else(|| SettingsError::Missing(self.path.into(), field))
    }

    /// Returns the ports from the first to the last that a comma-separated field names, which must be usable; none if the
    /// field is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if one of the values is no port.
    pub fn usable_ports(&self, field: &'static str) -> Result<Vec<u16>, SettingsError> {
        let wanted = "two ports, joined by a comma";
        let named: Vec<u16> = self.parsed_parts(field, wanted).collect::<Result<_, _>>()?;
        let ends = named.first().zip(named.last());
        Ok(ends.map_or_else(Vec::new, |(first, last)| {
            (*first..=*last.max(first)).collect()
        }))
    }

    /// Returns the values of a comma-separated field that can be used.
    pub fn list<T: std::str::FromStr>(&self, field: &'static str, wanted: &'static str) -> Vec<T> {
        let mut values = Vec::new();
        for part in self.parsed_parts(field, wanted) {
            match part {
                Ok(value) => values.push(value),
                Err(error) => self.unusable.borrow_mut().push(error),
            }
        }
        values
    }

    fn parsed_parts<T: std::str::FromStr>(
        &self,
        field: &'static str,
        wanted: &'static str,
    ) -> impl Iterator<Item = Result<T, SettingsError>> {
        let (line, value) = self.found(field).unwrap_or_default();
        let parts = value.split(',').map(str::trim);
        let parts = parts.filter(|part| !part.is_empty());
        parts.map(move |part| {
            let parsed = part.parse();
            parsed.map_err(|_| self.wrong(line, field, part, wanted))
        })
    }

    fn wrong(
        &self,
        line: usize,
        field: &'static str,
        value: &str,
        wanted: &'static str,
    ) -> SettingsError {
        SettingsError::Value {
            path: self.path.into(),
            line,
            field,
            value: value.into(),
            wanted,
        }
    }

    /// Returns the fields whose names begin with `prefix`: the rest of each name, and the value.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&'a str, &'a str)> {
        let fields = self.by_name.iter();
        let under = fields.filter_map(move |(name, (_, value))| {
            name.strip_prefix(prefix).map(|rest| (rest, *value))
        });
        under.collect::<Vec<_>>().into_iter()
    }

    /// Returns a number that is finite and not negative, or `default` if the field is missing or can't be used.
    pub fn number(&self, field: &'static str, default: f64) -> f64 {
        let wanted = "a number that is not negative";
        let number: f64 = self.optional(field, wanted).unwrap_or(default);
        if number.is_finite() && number >= 0.0 {
            return number;
        }
        let (line, value) = self.found(field).unwrap_or_default();
        let error = self.wrong(line, field, value, wanted);
        self.unusable.borrow_mut().push(error);
        default
    }

    /// Returns a limit of the machine, or `default` if the field is missing, can't be used, or is 0, which names no limit.
    pub fn limit(&self, field: &'static str, default: f64) -> f64 {
        let limit = self.number(field, default);
        match limit > 0.0 {
            true => limit,
            false => default,
        }
    }

    /// Returns a duration given in seconds, or `default` seconds if the field is missing or can't be used; a longer time
    /// than a year counts as a year.
    pub fn seconds(&self, field: &'static str, default: f64) -> Duration {
        let seconds = self.number(field, default);
        Duration::from_secs_f64(seconds.min(MAX_TIME_S))
    }
}
