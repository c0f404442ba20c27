//! Runs entry hosts in child processes, for measurements and for tests that kill them.

use std::io;
use std::io::BufRead;
use std::net::SocketAddr;
use std::path::Path;
use std::process;
use std::thread;

use mangotrestle::daemon;
use mangotrestle_core::id;
use mangotrestle_platform::host_list;

use crate::cell;

/// Options of an [`EntryProcess`].
#[derive(Debug)]
pub struct EntryProcessBuilder {
    host: host_list::Host,
    arguments: Vec<String>,
}

impl EntryProcessBuilder {
    /// Adds a command-line flag with its value. None by default.
    #[must_use]
    pub fn option(mut self, flag: &str, value: &str) -> Self {
        self.arguments.push(flag.to_owned());
        self.arguments.push(value.to_owned());
        self
    }

    /// Starts the binary and waits until it has logged the addresses at which it listens.
    ///
    /// # Errors
    ///
    /// Returns a message if the process cannot be started or ends before it listens.
    pub fn start(self, binary: &Path) -> Result<EntryProcess, String> {
        let mut child = process::Command::new(binary)
            .arg("serve")
            .args(&self.arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child
            .stdout
            .take()
            .ok_or("the process has no standard output")?;
        let mut lines = io::BufReader::new(output).lines();
        let mut last_line = String::new();
        let addresses = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let addresses = parse_addresses(&line);
            last_line = line;
            addresses
        });
        let Some(addresses) = addresses else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!(
                "the entry host ended before it listened; last log line: {last_line}"
            ));
        };
        // Keeps reading the log: the process would block once the pipe is full.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Ok(EntryProcess {
            child,
            host: self.host,
            addresses,
        })
    }
}

/// An entry host in a child process, which is killed on drop.
#[derive(Debug)]
pub struct EntryProcess {
    child: process::Child,
    host: host_list::Host,
    addresses: daemon::Addresses,
}

impl EntryProcess {
    /// Returns a builder of an entry host that uses the platform's stand-ins and listens on free
    /// ports, which the operating system chooses.
    ///
    /// # Panics
    ///
    /// Panics if the zone is not a valid identifier.
    #[must_use]
    pub fn builder(name: &str, zone: &str, platform: &cell::Platform) -> EntryProcessBuilder {
        let zone_id = id::AvailabilityZoneId::new(zone).expect("the zone is a valid identifier");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let host = host_list::Host {
            id: name.to_owned(),
            role: host_list::Role::Entry,
            availability_zone: zone_id,
            rack: id::RackId::new("entry").expect("the text is a valid identifier"),
            address: any_port,
            state: host_list::HostState::Live,
        };
        let any_port = any_port.to_string();
        EntryProcessBuilder {
            host,
            arguments: Vec::new(),
        }
        .option("--entry-host", name)
        .option("--availability-zone", zone)
        .option("--table-address", &platform.table_address.to_string())
        .option(
            "--object-store-address",
            &platform.objects_address.to_string(),
        )
        .option("--host-list-address", &platform.hosts_address.to_string())
        .option("--operator-listen", &any_port)
        .option("--caller-listen", &any_port)
        .option("--peer-listen", &any_port)
        .option("--health-listen", &any_port)
    }

    /// Returns the addresses at which the entry host listens.
    #[must_use]
    pub const fn addresses(&self) -> &daemon::Addresses {
        &self.addresses
    }

    /// Returns the name of the entry host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.host.id
    }

    /// Returns the entry for the platform's host list. The caller adds it to the list.
    #[must_use]
    pub fn host_list_entry(&self) -> host_list::Host {
        host_list::Host {
            address: self.addresses.peers,
            ..self.host.clone()
        }
    }

    /// Returns the process identifier.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process without a shutdown and waits until it has ended.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the addresses in a `daemon.started` log line, `None` for any other line.
fn parse_addresses(line: &str) -> Option<daemon::Addresses> {
    if !line.contains("event=daemon.started") {
        return None;
    }
    let value = |key: &str| {
        let pair = line
            .split_whitespace()
            .find_map(|pair| pair.strip_prefix(key));
        pair.and_then(|value| value.strip_prefix('='))
            .and_then(|value| value.parse().ok())
    };
    Some(daemon::Addresses {
        operators: value("operators")?,
        callers: value("callers")?,
        peers: value("peers")?,
        health: value("health")?,
    })
}
