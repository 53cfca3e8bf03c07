use slog::Drain;
use slog::Logger;
use slog::o;
use slog_async::Async;
use slog_term::FullFormat;
use slog_term::PlainDecorator;

/// Returns a logger that writes to standard error.
pub(super) fn new() -> Logger {
    let decorator = PlainDecorator::new(std::io::stderr());
    let format = FullFormat::new(decorator).build().fuse();
    Logger::root(Async::new(format).build().fuse(), o!())
}
