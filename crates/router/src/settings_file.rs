//! The settings file, read again when it changes.

use {
    config::Settings,
    eyre::WrapErr,
    std::path::{Path, PathBuf},
};

/// A settings file and what was last read from it.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads and checks the file.
    pub fn open(path: &Path) -> eyre::Result<(Self, Settings)> {
        let text = read(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_path_buf();
        Ok((Self { path, text }, settings))
    }

    /// The settings, if the file's text has changed since it was last read. One
    /// that cannot be used is reported once, and not again until it changes.
    pub fn reload_if_changed(&mut self) -> eyre::Result<Option<Settings>> {
        let text = read(&self.path)?;
        if text == self.text {
            return Ok(None);
        }
        self.text = text;
        parse(&self.path, &self.text).map(Some)
    }
}

fn read(path: &Path) -> eyre::Result<String> {
    std::fs::read_to_string(path).wrap_err_with(|| format!("cannot read {}", path.display()))
}

fn parse(path: &Path, text: &str) -> eyre::Result<Settings> {
    Settings::from_toml(text).wrap_err_with(|| format!("{} is not valid", path.display()))
}
