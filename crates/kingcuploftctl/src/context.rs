//! The clients of the platform and the VMs that a command uses, from its command line.

use kingcuploft_platform::ObjectStore;
use kingcuploft_platform::client::{Client, ClientSettings};

use crate::admin_client::AdminClient;
use crate::args::Args;
use crate::exit::{Code, Outcome};

/// The seed of the client's random delays. It may be constant because one command makes few calls.
const SEED: u64 = 1;

/// Builds the clients of the platform and the VMs for one command.
#[derive(Debug)]
pub struct Context<'a> {
    args: &'a Args,
}

impl<'a> Context<'a> {
    /// Builds the context of a command line.
    pub fn new(args: &'a Args) -> Self {
        Self { args }
    }

    /// Returns whether to print JSON.
    pub fn json(&self) -> bool {
        self.args.json
    }

    /// Returns the client of the platform's object API.
    ///
    /// # Errors
    ///
    /// Returns an outcome with code 2 if no address was given.
    pub fn store(&self) -> Result<Client, Outcome> {
        let Some(platform) = &self.args.platform else {
            let why = "--platform HOST:PORT is needed for this command";
            return Err(Outcome::failure(Code::InvalidInput, why));
        };
        // An operator waits for the answer: the timeout is longer than a VM's, and no circuit breaker rejects retries.
        let settings = ClientSettings {
            call_timeout_ms: 5000,
            failures_to_open: u32::MAX,
            calls_burst: 100_000.0,
            ..ClientSettings::default()
        };
        Ok(Client::with_settings(platform, settings, SEED))
    }

    /// Returns whether VMs were named.
    pub fn has_vms(&self) -> bool {
        !self.args.vms.is_empty() || self.args.admin_port.is_some()
    }

    /// Returns the clients of the VMs' admin ports.
    ///
    /// # Errors
    ///
    /// Returns an outcome if no VM was named, the token cannot be read, or the VM list is needed and the platform does
    /// not answer.
    pub fn vms(&self) -> Result<Vec<AdminClient>, Outcome> {
        let mut addresses = self.args.vms.clone();
        if let Some(port) = self.args.admin_port {
            let listed = self.store()?.vms();
            let listed = listed.map_err(|error| {
                let why = format!("the VM list can not be read: {error}; name VMs with --vm");
                Outcome::failure(Code::Failed, why)
            })?;
            let hosts = listed.iter().filter_map(|vm| vm.address.rsplit_once(':'));
            let mut hosts: Vec<&str> = hosts.map(|(host, _)| host).collect();
            hosts.sort_unstable();
            hosts.dedup();
            addresses.extend(hosts.iter().map(|host| format!("{host}:{port}")));
        }
        if addresses.is_empty() {
            let why = "--vm HOST:PORT,... or --platform with --admin-port is needed";
            return Err(Outcome::failure(Code::InvalidInput, why));
        }
        let token = self.token()?;
        let clients = addresses
            .iter()
            .map(|address| AdminClient::new(address, token.clone()));
        Ok(clients.collect())
    }

    fn token(&self) -> Result<Option<String>, Outcome> {
        let Some(file) = &self.args.token else {
            return Ok(None);
        };
        match std::fs::read_to_string(file) {
            Ok(token) => Ok(Some(token.trim().to_owned())),
            Err(error) => {
                let why = format!("{}: {error}", file.display());
                Err(Outcome::failure(Code::InvalidInput, why))
            }
        }
    }
}
