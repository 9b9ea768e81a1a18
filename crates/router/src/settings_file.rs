//! The settings file, which is reloaded when it changes.

use {
    config::Settings,
    eyre::WrapErr,
    std::path::{Path, PathBuf},
};

/// A settings file and the text that was last read from it.
pub struct SettingsFile {
    path: PathBuf,
    text: String,
}

impl SettingsFile {
    /// Reads and validates the file.
    pub fn open(path: &Path) -> eyre::Result<(Self, Settings)> {
        let text = read(path)?;
        let settings = parse(path, &text)?;
        let path = path.to_path_buf();
        Ok((Self { path, text }, settings))
    }

    /// Reads the file and returns the settings if the text has changed since the last read. An
    /// invalid file causes one error, and no further error until the text changes again.
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
