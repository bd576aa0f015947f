//! Sets up logging: short sentences, each with its component as a prefix.

use tracing_subscriber::EnvFilter;

use crate::settings::LogFormat;

/// Starts logging to standard error; a second call in the same process changes nothing.
pub fn start(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_writer(std::io::stderr);
    let started = match format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().try_init(),
    };
    // Tests start several daemons in one process, which share the logging of the first.
    drop(started);
}
