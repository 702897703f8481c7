//! Structured logs on standard error, one JSON object per line.

use log::LevelFilter;
use log4rs::append::console::ConsoleAppender;
use log4rs::append::console::Target;
use log4rs::config::Appender;
use log4rs::config::Config;
use log4rs::config::Root;
use log4rs::encode::json::JsonEncoder;

use crate::error::EntryError;

/// Sets up the logger of the process.
///
/// # Errors
///
/// Returns an error when the process already has a logger.
pub fn init(level: LevelFilter) -> Result<(), EntryError> {
    let appender = ConsoleAppender::builder()
        .encoder(Box::new(JsonEncoder::new()))
        .target(Target::Stderr)
        .build();
    let config = Config::builder()
        .appender(Appender::builder().build("stderr", Box::new(appender)))
        .build(Root::builder().appender("stderr").build(level))
        .map_err(|e| EntryError::Logger(e.to_string()))?;
    log4rs::init_config(config).map_err(|e| EntryError::Logger(e.to_string()))?;
    Ok(())
}
