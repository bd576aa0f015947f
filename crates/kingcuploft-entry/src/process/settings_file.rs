//! The settings file, which may be read while it is being written, and of which a VM uses what it can.

use std::cell::RefCell;
use std::path::{Path, PathBuf};

use kingcuploft::entry::start::{SettingsQuality, SettingsVerdict, SettingsWait};

use crate::clock;
use crate::fields::SettingsError;
use crate::settings::{EntrySettings, ParsedSettings};

/// Parses the text of a settings file; the path stands in errors only.
pub type ParseSettings = fn(&Path, &str) -> Result<ParsedSettings, SettingsError>;

/// The settings file of a process.
#[derive(Debug)]
pub struct SettingsFile {
    path: PathBuf,
    parse: ParseSettings,
    wait: RefCell<SettingsWait>,
}

impl SettingsFile {
    /// Names the file; it is not read yet.
    pub fn new(path: PathBuf, parse: ParseSettings) -> Self {
        Self {
            path,
            parse,
            wait: RefCell::default(),
        }
    }

    /// Reads the file once; every field must be usable.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and where it can the line and the field.
    pub fn check(&self) -> Result<EntrySettings, SettingsError> {
        (self.parse)(&self.path, &self.read_text()?)?.if_sound()
    }

    /// Reads the file for a VM that starts. A file of which the VM could do without the part that can't be used is being
    /// written until it has stayed the same for a while; then that part is told, and left out.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and where it can the line and the field.
    pub fn read_first(&self) -> Result<EntrySettings, SettingsError> {
        let text = self.read_ended_text()?;
        let parsed = (self.parse)(&self.path, &text)?;
        let quality = match parsed.is_sound() {
            true => SettingsQuality::Sound,
            false => SettingsQuality::PartlyUsable,
        };
        let verdict = self.wait.borrow().judge(clock::now(), quality);
        if parsed.is_sound() || verdict == SettingsVerdict::Wait {
            return parsed.if_sound();
        }
        for error in parsed.unusable.iter().chain(&parsed.unusable_bounds) {
            tracing::warn!(event = "setting_left_out", %error);
        }
        Ok(parsed.settings)
    }

    /// Reads the file for a VM that runs. Only the bounds may change, so they must all be usable.
    ///
    /// # Errors
    ///
    /// Returns an error that names the file, and where it can the line and the field.
    pub fn read_again(&self) -> Result<EntrySettings, SettingsError> {
        let text = self.read_ended_text()?;
        (self.parse)(&self.path, &text)?.if_bounds_are_sound()
    }

    /// Returns what the file holds. A file whose last line has no end is being written until it has stayed the same for a
    /// while.
    fn read_ended_text(&self) -> Result<String, SettingsError> {
        let mut wait = self.wait.borrow_mut();
        let text = self.read_text().inspect_err(|_| wait.record_missing())?;
        let now = clock::now();
        wait.record_text(now, &text);
        match wait.is_whole(now) {
            true => Ok(text),
            false => Err(SettingsError::Unended(self.path.clone())),
        }
    }

    fn read_text(&self) -> Result<String, SettingsError> {
        let bytes = std::fs::read(&self.path);
        let bytes = bytes.map_err(|error| SettingsError::File(self.path.clone(), error))?;
        Ok(String::from_utf8_lossy(&bytes).into_owned())
    }
}
