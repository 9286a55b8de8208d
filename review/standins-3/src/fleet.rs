//! Daemon processes on loopback addresses, with a store and a server beside each daemon.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use quetzal_soak::caller::{Answer, call};
use quetzal_soak::store::FakeStore;
use tokio::time::{sleep, timeout};

use crate::server::Server;

/// Interval of the status reports of the servers.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Ports that a machine uses: its daemon, server, store and metrics.
const PORTS: [u16; 7] = [8300, 8301, 8302, 8304, 8306, 8309, 9464];
/// Time until all daemons must be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Settings that differ between the cases; lines of the settings file.
#[derive(Clone, Debug, Default)]
pub struct FleetSettings {
    /// Further lines, such as bounds.
    pub lines: String,
    /// Memory of a machine in megabytes.
    pub memory_mb: u64,
}

/// A machine: a daemon process and the server beside it.
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Its address.
    pub ip: IpAddr,
    /// The server.
    pub server: Server,
    child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
}

/// All machines and the store.
pub struct Fleet {
    /// The platform's store.
    pub store: FakeStore,
    /// The machines.
    pub machines: Vec<Machine>,
}

impl Fleet {
    /// Starts a machine for each of `services`, publishes `config` and waits until all are ready.
    pub async fn start(
        services: &[&str],
        config: &str,
        settings: &FleetSettings,
        folder: &Path,
    ) -> io::Result<Self> {
        let program = PathBuf::from("target/release/quetzald");
        if !program.exists() {
            return Err(io::Error::other("target/release/quetzald is not built"));
        }
        let ips = free_addresses(services.len() as u8 + 1)?;
        let store = FakeStore::start(SocketAddr::new(ips[0], 8309)).await;
        store.publish(config);
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = ips[index + 1];
            let name = format!("sidecar-east-a-{}", index + 1);
            let server = Server::start(SocketAddr::new(ip, 8301), service).await;
            let machine = Machine {
                settings: folder.join(format!("{name}.conf")),
                log: folder.join(format!("{name}.log")),
                program: program.clone(),
                child: None,
                name,
                ip,
                server,
            };
            machine.write_settings(settings, store.address())?;
            machines.push(machine);
        }
        let mut fleet = Self { store, machines };
        for machine in &mut fleet.machines {
            machine.start_daemon()?;
        }
        for machine in &fleet.machines {
            machine.wait_until_ready().await?;
            machine.server.report_to(machine.at(8306));
        }
        // Every daemon knows a server shortly after its first status report.
        sleep(HEARTBEAT * 2).await;
        Ok(fleet)
    }
}

impl Machine {
    /// Returns the machine's address with `port`.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Returns the address to which requesters send.
    pub fn outbound(&self) -> SocketAddr {
        self.at(8304)
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn start_daemon(&mut self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let errors = log.try_clone()?;
        let child = Command::new(&self.program)
            .arg("--platform")
            .env_clear()
            .env("QUETZALPULLEY_BOOT", &self.settings)
            .stdout(log)
            .stderr(errors)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    /// Sends the signal called `name` to the daemon.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            // A daemon that has ended shows in what its requesters see.
            let command = format!("kill -{name} {}", child.id());
            let _ended = Command::new("sh").arg("-c").arg(command).status();
        }
    }

    /// Kills the daemon.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Returns whether the daemon says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let asking = call(self.at(8302), "GET", "/v1/ready", &[], b"");
        let answer = timeout(Duration::from_secs(1), asking).await;
        answer.is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the daemon is ready.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        let started = Instant::now();
        while started.elapsed() < START_TIMEOUT {
            if self.is_ready().await {
                return Ok(());
            }
            sleep(Duration::from_millis(50)).await;
        }
        Err(io::Error::other(format!("{} is not ready", self.name)))
    }

    /// Sends a request on a new connection.
    pub async fn send(&self, method: &str, path: &str, headers: &[(&str, &str)]) -> Answer {
        let mut all = vec![("host", "shop.example")];
        all.extend_from_slice(headers);
        let asking = call(self.outbound(), method, path, &all, b"");
        timeout(Duration::from_secs(20), asking)
            .await
            .unwrap_or_default()
    }

    fn write_settings(&self, settings: &FleetSettings, store: SocketAddr) -> io::Result<()> {
        let (name, ip, service) = (&self.name, self.ip, self.server.service());
        let memory = settings.memory_mb;
        let text = format!(
            "node_name={name}\nrole=daemon\nmachine_class=sidecar\nserves=sidecar\nip={ip}\n\
             zone=east-a\nregion=east\nzones.east-a=east\nlisten.inbound={ip}:8300\n\
             listen.outbound={ip}:8304\nlisten.ready={ip}:8302\nlisten.control={ip}:8306\n\
             port_range=7620,7635\nseeds=\nbootstrap=true\nlimits.cpu_share=0.2\nlimits.cores=1\n\
             limits.memory_mb={memory}\nlimits.max_fds=4100\nlimits.link_mbps=1000.0\n\
             limits.disk_mb=0\nheartbeat=1500ms\nbounds.seed_lag=3s\nbounds.reuse_after=2s\n\
             bounds.stability_window=3000ms\nbounds.ack=4000ms\nbounds.catch_up=4s\n\
             bounds.drain=2000ms\nbounds.grace=6s\nbounds.loss_slack=200ms\n\
             bounds.config_apply=2000ms\nbounds.rollback_slack=250ms\nbounds.max_stretch=5000ms\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\nbounds.budget_slack=56\n\
             bounds.recover=15s\n{}app_addr={ip}:8301\nservice={service}\n\
             platform.address={store}\nplatform.form=log\n",
            settings.lines
        );
        fs::write(&self.settings, text)
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Finds `count` loopback addresses whose ports are free.
fn free_addresses(count: u8) -> io::Result<Vec<IpAddr>> {
    let process = std::process::id();
    for attempt in 0..200_u32 {
        let (second, third) = (
            (process + attempt) % 200 + 30,
            (process / 200 + attempt) % 250,
        );
        let ips: Vec<IpAddr> = (1..=count)
            .map(|last| IpAddr::V4(Ipv4Addr::new(127, second as u8, third as u8, last)))
            .collect();
        let is_free = |ip: &IpAddr| {
            let mut ports = PORTS.iter();
            ports.all(|port| TcpListener::bind(SocketAddr::new(*ip, *port)).is_ok())
        };
        if ips.iter().all(is_free) {
            return Ok(ips);
        }
    }
    Err(io::Error::other("no free loopback addresses"))
}
