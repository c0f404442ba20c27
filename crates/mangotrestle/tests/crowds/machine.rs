//! A host on a small machine, its observer, and what is checked after a crowd has come.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::sync::{Mutex, MutexGuard};

use super::footprint::Observer;
use super::platform::{Caller, Host, MachineLimits, Platform};

/// The machine of the hosts.
const MACHINE: MachineLimits = MachineLimits {
    memory_mb: 64,
    max_fds: 400,
};
/// Number of the job that is submitted while a crowd is connected.
const ORDINARY_JOB: u64 = 900_000;
/// Time within which a host that was started has a configuration and a leader.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Held by the one test that runs.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Waits for the other tests, and keeps them from running.
pub async fn take_turn() -> MutexGuard<'static, ()> {
    ONE_AT_A_TIME.lock().await
}

/// A host that serves, and the platform that it runs on.
pub struct Scene {
    pub host: Host,
    pub platform: Platform,
    machine: MachineLimits,
    observer: Observer,
    _turn: MutexGuard<'static, ()>,
}

impl Scene {
    /// Waits for the other tests, and starts a host that accepts jobs.
    pub async fn start() -> Self {
        Self::start_on(MACHINE).await
    }

    /// Like [`Scene::start`], on another machine.
    pub async fn start_on(machine: MachineLimits) -> Self {
        let turn = take_turn().await;
        let platform = Platform::start().await;
        let host = Host::start_on_machine("front-a-1", platform.store_address(), machine).await;
        let ports = [
            host.address(),
            host.readiness_address(),
            host.peer_address(),
            host.metrics_address(),
        ];
        let ports = ports.iter().map(SocketAddr::port).collect();
        let observer = Observer::start(host.process_id(), ports);
        let scene = Self {
            host,
            platform,
            machine,
            observer,
            _turn: turn,
        };
        scene.wait_until_serving().await;
        scene
    }

    async fn wait_until_serving(&self) {
        let began = Instant::now();
        for number in 1.. {
            let status = self.caller().submit(number).await.status;
            if status == 200 {
                return;
            }
            assert!(began.elapsed() < START_TIMEOUT, "{status} instead of 200");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns an ordinary caller.
    pub fn caller(&self) -> Caller {
        self.host.caller()
    }

    /// Checks that the host lives within the limits of its machine and accepts an ordinary job.
    pub async fn assert_serving_within_limits(&mut self) {
        let answer = self.caller().submit(ORDINARY_JOB).await;
        let has_ended = self.host.has_ended();
        let peak_memory_mb = self.observer.peak_memory_mb();
        let peak_descriptors = self.observer.peak_descriptors();

        let MachineLimits { memory_mb, max_fds } = self.machine;
        let peaks = format!("{peak_memory_mb} MB, {peak_descriptors} descriptors");
        println!("peaks: {peaks}; an ordinary job: {}", answer.status);
        assert!(!has_ended, "the host has ended; {peaks}");
        assert!(
            peak_memory_mb < memory_mb,
            "{peaks}; {memory_mb} MB allowed"
        );
        assert!(
            peak_descriptors < max_fds,
            "{peaks}; {max_fds} descriptors allowed"
        );
        assert_eq!(answer.status, 200, "{answer:?}; {peaks}");
        assert!(self.platform.has_job(ORDINARY_JOB), "{peaks}");
    }
}
