//! Options that commands share: the addresses of the store and the entry hosts, and the key.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use lexopt::ValueExt;
use yuccanotch_core::config::reader::Chunks;
use yuccanotch_core::config::reader::Reader;
use yuccanotch_core::config::reader::StoredConfig;
use yuccanotch_entry::store_client::StoreClient;

use crate::admin_client::AdminClient;
use crate::error::CliError;
use crate::error::CliResult;
use crate::util;

/// Values of the options that commands share.
#[derive(Debug, Default)]
pub struct SharedOptions {
    store: Option<SocketAddr>,
    hosts: Vec<SocketAddr>,
    key: Option<PathBuf>,
}

impl SharedOptions {
    /// Parses the value of the shared option `--name`.
    ///
    /// # Errors
    ///
    /// Returns an error when the option is unknown or its value is invalid.
    pub fn parse_option(&mut self, name: &str, parser: &mut lexopt::Parser) -> CliResult<()> {
        match name {
            "store" => self.store = Some(parser.value()?.parse()?),
            "hosts" => {
                for host in parser.value()?.string()?.split(',') {
                    self.hosts.push(host.trim().parse().map_err(|_| {
                        CliError::Usage(format!(
                            "--hosts: {host:?} is not an IP address and a port"
                        ))
                    })?);
                }
            }
            "key" => self.key = Some(parser.value()?.into()),
            _ => return Err(CliError::Usage(format!("invalid option '--{name}'"))),
        }
        Ok(())
    }

    /// Returns a client of the store; `--store` is required.
    pub fn store(&self) -> CliResult<StoreClient> {
        let address =
            self.store.ok_or_else(|| CliError::Usage("--store IP:PORT is required".to_owned()))?;
        Ok(StoreClient::new(address))
    }

    /// Returns a client for each entry host of `--hosts`; none when the option is absent.
    pub fn hosts(&self) -> CliResult<Vec<AdminClient>> {
        if self.hosts.is_empty() {
            return Ok(Vec::new());
        }
        let path = self
            .key
            .as_ref()
            .ok_or_else(|| CliError::Usage("--hosts needs --key FILE".to_owned()))?;
        let key = fs::read_to_string(path)
            .map_err(|e| CliError::Failed(format!("{}: {e}", path.display())))?;
        let client = |address: &SocketAddr| AdminClient::new(*address, key.trim());
        Ok(self.hosts.iter().map(client).collect())
    }

    /// Returns a client for each entry host of `--hosts`, which is required.
    pub fn required_hosts(&self) -> CliResult<Vec<AdminClient>> {
        let hosts = self.hosts()?;
        if hosts.is_empty() {
            return Err(CliError::Usage("--hosts IP:PORT,... is required".to_owned()));
        }
        Ok(hosts)
    }

    /// Reads the current configuration from the store.
    pub fn read_config(&self) -> CliResult<StoredConfig> {
        let stored = util::run_procedure(Reader::new(Chunks::new()), &self.store()?)?;
        stored.ok_or_else(|| {
            CliError::Failed("the store holds no configuration; see `init`".to_owned())
        })
    }
}
