//! Entry hosts as processes of their own, for measurements and for tests that kill them.

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
    /// Gives the process a flag with its value. None by default.
    #[must_use]
    pub fn option(mut self, flag: &str, value: &str) -> Self {
        self.arguments.push(flag.to_owned());
        self.arguments.push(value.to_owned());
        self
    }

    /// Starts the binary and waits until it says where it listens.
    ///
    /// # Errors
    ///
    /// If the process cannot be started or ends before it listens.
    pub fn start(self, binary: &Path) -> Result<EntryProcess, String> {
        let mut child = process::Command::new(binary)
            .arg("serve")
            .args(&self.arguments)
            .stdout(process::Stdio::piped())
            .spawn()
            .map_err(|error| error.to_string())?;
        let output = child.stdout.take().ok_or("the process has no output")?;
        let mut lines = io::BufReader::new(output).lines();
        let mut last_line = String::new();
        let addresses = lines.by_ref().map_while(Result::ok).find_map(|line| {
            let addresses = parse(&line);
            last_line = line;
            addresses
        });
        let Some(addresses) = addresses else {
            let _ = child.kill();
            let _ = child.wait();
            return Err(format!("the process ended before it listened: {last_line}"));
        };
        // Whoever does not read the log would block the process at last.
        thread::spawn(move || lines.map_while(Result::ok).for_each(drop));
        Ok(EntryProcess {
            child,
            host: self.host,
            addresses,
        })
    }
}

/// An entry host in a process of its own; it is killed when this is dropped.
#[derive(Debug)]
pub struct EntryProcess {
    child: process::Child,
    host: host_list::Host,
    addresses: daemon::Addresses,
}

impl EntryProcess {
    /// An entry host that uses the platform's stand-ins and ports that the system chooses.
    ///
    /// # Panics
    ///
    /// If the zone is no identifier.
    #[must_use]
    pub fn builder(name: &str, zone: &str, platform: &cell::Platform) -> EntryProcessBuilder {
        let zone_id = id::AvailabilityZoneId::new(zone).expect("the zone is an identifier");
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let host = host_list::Host {
            id: name.to_owned(),
            role: host_list::Role::Entry,
            availability_zone: zone_id,
            rack: id::RackId::new("entry").expect("the text is an identifier"),
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

    /// Where it listens.
    #[must_use]
    pub const fn addresses(&self) -> &daemon::Addresses {
        &self.addresses
    }

    /// Name of the entry host.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.host.id
    }

    /// The entry host as the platform's list shows it.
    #[must_use]
    pub fn host_list_entry(&self) -> host_list::Host {
        host_list::Host {
            address: self.addresses.peers,
            ..self.host.clone()
        }
    }

    /// The system's number of the process.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Kills the process in the middle of whatever it does.
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

/// Reads the addresses from the log line that says that the daemon has started.
fn parse(line: &str) -> Option<daemon::Addresses> {
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
