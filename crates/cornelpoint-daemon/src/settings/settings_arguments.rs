use std::fs;
use std::path::PathBuf;

use clap::Args;
use cornelpoint::document::Source;
use cornelpoint::finding::Findings;
use error_stack::Report;
use error_stack::ResultExt;

use super::settings_error::SettingsError;

/// Command-line arguments for a daemon's settings.
///
/// ```
/// use clap::Parser;
/// use cornelpoint_daemon::settings::SettingsArguments;
///
/// #[derive(Parser)]
/// struct Arguments {
///     #[command(flatten)]
///     settings: SettingsArguments,
/// }
///
/// let arguments = Arguments::parse_from(["gateway", "--settings", "gateway.settings.json"]);
/// assert!(!arguments.settings.check_settings);
/// ```
#[derive(Clone, Debug, Args)]
pub struct SettingsArguments {
    /// Settings file, JSON with comments.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// Check the settings, report all findings and exit.
    #[arg(long)]
    pub check_settings: bool,
}

impl SettingsArguments {
    /// Reads and checks the settings file.
    ///
    /// # Errors
    ///
    /// When the file cannot be read or its settings have findings.
    pub fn load<T>(&self) -> Result<T, Report<SettingsError>>
    where
        T: for<'a> TryFrom<Source<'a>, Error = Findings>,
    {
        let unreadable = SettingsError::Unreadable {
            file: self.settings.clone(),
        };
        let text = fs::read_to_string(&self.settings).change_context(unreadable)?;
        let file = self.settings.display().to_string();
        let source = Source {
            file: &file,
            text: &text,
        };
        T::try_from(source).map_err(|findings| Report::new(SettingsError::Findings(findings)))
    }
}
