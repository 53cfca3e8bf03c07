use std::fmt;
use std::io;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::Never;
use slog::o;
use slog_async::AsyncCore;
use slog_async::AsyncGuard;
use slog_json::Json;
use slog_term::FullFormat;
use slog_term::PlainDecorator;
use slog_term::TermDecorator;

use super::bounded_drain::BoundedDrain;
use super::component::Component;
use super::component_drain::ComponentDrain;
use super::log_settings::LogFormat;
use super::log_settings::LogSettings;

/// Log of a process; writes the queued records when it is dropped.
///
/// ```
/// use cornelpoint_daemon::log::LogSettings;
/// use cornelpoint_daemon::log::Component;
/// use cornelpoint_daemon::log::RootLog;
/// use slog::info;
///
/// let log = RootLog::to_stderr(&LogSettings::default());
/// let gateway = log.component(Component::Gateway);
/// info!(gateway, "Configuration in force."; "generation" => 4);
/// assert_eq!(log.dropped(), 0);
/// ```
pub struct RootLog {
    drain: Arc<BoundedDrain>,
    level: Level,
    // Writes the queued records when it is dropped, so it must be the last field.
    _guard: AsyncGuard,
}

impl RootLog {
    /// Creates a log that writes to the standard error stream.
    #[must_use]
    pub fn to_stderr(settings: &LogSettings) -> Self {
        match settings.form {
            LogFormat::Json => Self::to_writer(settings, io::stderr()),
            LogFormat::Terminal => {
                let decorator = TermDecorator::new().stderr().build();
                let format = FullFormat::new(decorator).use_utc_timestamp().build();
                Self::over(settings, format.ignore_res())
            }
        }
    }

    /// Creates a log that writes to any writer, without colours.
    #[must_use]
    pub fn to_writer<W: Write + Send + 'static>(settings: &LogSettings, writer: W) -> Self {
        match settings.form {
            LogFormat::Json => {
                let format = Json::new(writer).add_default_keys().set_flush(true).build();
                Self::over(settings, Mutex::new(format).ignore_res())
            }
            LogFormat::Terminal => {
                let decorator = PlainDecorator::new(writer);
                let format = FullFormat::new(decorator).use_utc_timestamp().build();
                Self::over(settings, Mutex::new(format).ignore_res())
            }
        }
    }

    /// Returns the logger of a component; its messages start with the component's
    /// name.
    pub fn component(&self, component: Component) -> Logger {
        let next = LevelFilter::new(Arc::clone(&self.drain), self.level);
        Logger::root(ComponentDrain { component, next }.ignore_res(), o!())
    }

    /// Number of records dropped because the queue was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.drain.dropped()
    }

    fn over<D>(settings: &LogSettings, drain: D) -> Self
    where
        D: Drain<Ok = (), Err = Never> + Send + 'static,
    {
        let (core, guard) = AsyncCore::custom(drain)
            .chan_size(settings.queue_length)
            .thread_name("log".to_owned())
            .build_with_guard();
        Self {
            drain: Arc::new(BoundedDrain::new(core)),
            level: settings.level.level(),
            _guard: guard,
        }
    }
}

impl fmt::Debug for RootLog {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RootLog")
            .field("drain", &self.drain)
            .field("level", &self.level)
            .finish_non_exhaustive()
    }
}
