//! Errors of an embedded deployment.

use std::io;

use quick_error::quick_error;
use yuccanotch_core::config::ConfigError;
use yuccanotch_entry::EntryError;
use yuccanotch_standin::StandinError;

quick_error! {
    /// Why an embedded deployment could not start or run.
    #[derive(Debug)]
    pub enum LocalError {
        /// The stand-ins could not start.
        Standin(e: StandinError) {
            display("stand-ins: {}", e)
            from()
        }
        /// An entry host could not start.
        Entry(e: EntryError) {
            display("entry host: {}", e)
            from()
        }
        /// The configuration could not be written.
        Config(e: ConfigError) {
            display("configuration: {}", e)
            from()
        }
        /// A call of the operating system failed.
        Io(e: io::Error) {
            display("{}", e)
            source(e)
            from()
        }
        /// The named entry host was not ready in time.
        NotReady(what: String) {
            display("not ready in time: {}", what)
        }
    }
}
