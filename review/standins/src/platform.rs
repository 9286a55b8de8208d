//! Stand-in for the platform: machines, their settings files and the processes on them.

use std::fs;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::record::Record;
use crate::requester::send_once;
use crate::server::Server;
use crate::store::Store;

/// Build product and arguments of `deploy/system.toml`, from the repository's root.
const PROGRAM: &str = "target/release/quetzald";
/// Memory of a process on the machines of the site.
pub const MEMORY_MB: u64 = 110;
/// Interval at which the memory of a process is read.
const MEMORY_POLL: Duration = Duration::from_millis(2);
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Time from SIGTERM until the platform kills a process, `bounds.grace` of the settings.
const GRACE: Duration = Duration::from_secs(6);
/// Time for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// The deployment: a store and its machines.
pub struct Deployment {
    _store: Store,
    pub machines: Vec<Machine>,
    folder: PathBuf,
}

/// A machine with a daemon and a server.
pub struct Machine {
    pub name: String,
    pub service: String,
    pub server: Server,
    ip: IpAddr,
    process: Arc<DaemonProcess>,
    watcher: Option<JoinHandle<()>>,
}

struct DaemonProcess {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    record: Record,
    child: Mutex<Option<Child>>,
    ended: AtomicBool,
    /// Whether a planned stop is in progress.
    planned: AtomicBool,
    /// Times at which the process ended by itself or for its memory.
    own_ends: Mutex<Vec<Duration>>,
    peak_mb: Mutex<u64>,
}

impl Deployment {
    /// Starts the store, a machine for each of `services`, and waits until all are ready.
    pub async fn start(services: &[&str], config: &str, record: &Record) -> Result<Self, String> {
        let number = std::process::id();
        let ip = |last: usize| {
            let (second, third) = (20 + (number % 200) as u8, (number / 200 % 250) as u8);
            IpAddr::V4(Ipv4Addr::new(127, second, third, last as u8))
        };
        let folder = std::env::temp_dir().join(format!("quetzal-review-{number}"));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let store_address = SocketAddr::new(ip(250), 8309);
        let store = Store::start(store_address)
            .await
            .map_err(|error| format!("{store_address}: {error}"))?;
        store.publish(config);
        let mut machines = Vec::new();
        for (index, service) in services.iter().enumerate() {
            let ip = ip(index + 1);
            machines.push(Machine::start(ip, service, store_address, &folder, record).await?);
        }
        let deployment = Self {
            _store: store,
            machines,
            folder,
        };
        for machine in &deployment.machines {
            machine.await_ready().await?;
        }
        Ok(deployment)
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for machine in &mut self.machines {
            machine.process.ended.store(true, Ordering::Relaxed);
            if let Some(watcher) = machine.watcher.take() {
                let _ = watcher.join();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    async fn start(
        ip: IpAddr,
        service: &str,
        store: SocketAddr,
        folder: &Path,
        record: &Record,
    ) -> Result<Self, String> {
        let IpAddr::V4(v4) = ip else {
            unreachable!("loopback addresses are IPv4 here")
        };
        let name = format!("sidecar-{}", v4.octets()[3]);
        let at = |port| SocketAddr::new(ip, port);
        let server = Server::new(
            at(8301),
            service,
            &format!("i-{}-1", v4.octets()[3]),
            record,
        );
        server
            .start(at(8306), Duration::from_millis(400))
            .await
            .map_err(|error| format!("{name}: {error}"))?;
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, settings_text(&name, ip, service, store))
            .map_err(|error| error.to_string())?;
        let process = Arc::new(DaemonProcess {
            settings,
            log: folder.join(format!("{name}.log")),
            record: record.clone(),
            child: Mutex::default(),
            ended: AtomicBool::new(false),
            planned: AtomicBool::new(false),
            own_ends: Mutex::default(),
            peak_mb: Mutex::new(0),
            name: name.clone(),
        });
        process.spawn()?;
        let watched = Arc::clone(&process);
        Ok(Self {
            name,
            service: service.to_owned(),
            server,
            ip,
            process,
            watcher: Some(thread::spawn(move || watched.watch())),
        })
    }

    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Address for requesters.
    pub fn outbound(&self) -> SocketAddr {
        self.at(8304)
    }

    /// Address for status reports.
    pub fn control(&self) -> SocketAddr {
        self.at(8306)
    }

    /// Stops the daemon with SIGTERM, kills it after the grace time, and starts it again.
    pub async fn restart_daemon(&self) -> Result<(), String> {
        self.process.planned.store(true, Ordering::Relaxed);
        self.process.signal("TERM")?;
        let until = Instant::now() + GRACE;
        let mut killed = false;
        while self.process.planned.load(Ordering::Relaxed) {
            if Instant::now() > until && !killed {
                self.process
                    .record
                    .say(format_args!("platform: {} outlived its grace", self.name));
                self.process.signal("KILL")?;
                killed = true;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.await_ready().await
    }

    async fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_TIMEOUT;
        while send_once(self.at(8302), "GET", "/v1/ready", "").await != Some(200) {
            if Instant::now() > until {
                return Err(format!("{} is not ready", self.name));
            }
            sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Times at which the daemon ended by itself; memory over the limit counts.
    pub fn own_ends(&self) -> Vec<Duration> {
        self.process.own_ends.lock().expect("not poisoned").clone()
    }

    /// Largest memory of the daemon in megabytes.
    pub fn peak_mb(&self) -> u64 {
        *self.process.peak_mb.lock().expect("not poisoned")
    }
}

impl DaemonProcess {
    fn spawn(&self) -> Result<(), String> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.map_err(|error| error.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("--platform")
            .env("QUETZALPULLEY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .spawn()
            .map_err(|error| format!("{PROGRAM}: {error}"))?;
        self.record.line(format_args!(
            "platform starts {} as {}",
            self.name,
            child.id()
        ));
        *self.child.lock().expect("not poisoned") = Some(child);
        Ok(())
    }

    fn signal(&self, signal: &str) -> Result<(), String> {
        let child = self.child.lock().expect("not poisoned");
        let Some(child) = &*child else { return Ok(()) };
        let command = format!("kill -{signal} {}", child.id());
        self.record
            .line(format_args!("platform: {} gets SIG{signal}", self.name));
        let status = Command::new("sh").arg("-c").arg(command).status();
        status.map(drop).map_err(|error| error.to_string())
    }

    /// Keeps the limit of memory, and starts the process again when it has ended.
    fn watch(&self) {
        while !self.ended.load(Ordering::Relaxed) {
            thread::sleep(MEMORY_POLL);
            let mut child = self.child.lock().expect("not poisoned");
            let Some(running) = child.as_mut() else {
                continue;
            };
            let memory = resident_mb(running.id());
            let mut peak = self.peak_mb.lock().expect("not poisoned");
            *peak = (*peak).max(memory);
            drop(peak);
            if memory > MEMORY_MB {
                let _ = running.kill();
                let _ = running.wait();
                self.record.say(format_args!(
                    "platform: {} had {memory} MB, more than memory_mb={MEMORY_MB}, and was killed",
                    self.name
                ));
            } else if let Ok(Some(status)) = running.try_wait() {
                if self.planned.load(Ordering::Relaxed) {
                    *child = None;
                    drop(child);
                    self.record
                        .line(format_args!("platform: {} has stopped", self.name));
                    thread::sleep(RESTART_DELAY);
                    if let Err(error) = self.spawn() {
                        self.record.say(error);
                    }
                    self.planned.store(false, Ordering::Relaxed);
                    continue;
                }
                self.record.say(format_args!(
                    "platform: {} ended by itself: {status}",
                    self.name
                ));
            } else {
                continue;
            }
            *child = None;
            drop(child);
            let mut own_ends = self.own_ends.lock().expect("not poisoned");
            own_ends.push(self.record.now());
            drop(own_ends);
            thread::sleep(RESTART_DELAY);
            if let Err(error) = self.spawn() {
                self.record.say(error);
            }
        }
        if let Some(mut child) = self.child.lock().expect("not poisoned").take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Reads the memory of a process that is resident.
fn resident_mb(process: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 = number.and_then(|number| number.parse().ok()).unwrap_or(0);
    kilobytes / 1024
}

fn settings_text(name: &str, ip: IpAddr, service: &str, store: SocketAddr) -> String {
    format!(
        "node_name={name}\nrole=daemon\nmachine_class=sidecar\nserves=sidecar\nip={ip}\n\
         zone=dk-east-a\nregion=dk-east\nzones.dk-east-a=dk-east\n\
         listen.inbound={ip}:8300\nlisten.outbound={ip}:8304\nlisten.ready={ip}:8302\n\
         listen.control={ip}:8306\nport_range=7620,7635\nseeds=\nbootstrap=true\n\
         in_tolerance=false\nlimits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb={MEMORY_MB}\n\
         limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=static\n\
         entry=static\nheartbeat=1500ms\n\
         contracts=base,drain,config,cost,retry,recover,platform\n\
         tolerate.machines=1\ntolerate.zones=0\ntolerate.regions=0\n\
         bounds.seed_lag=3s\nbounds.reuse_after=2s\nbounds.stability_window=3000ms\n\
         bounds.ack=4000ms\nbounds.catch_up=4s\nbounds.drain=2000ms\nbounds.grace=6s\n\
         bounds.loss_slack=200ms\nbounds.config_apply=2000ms\nbounds.rollback_slack=250ms\n\
         bounds.max_stretch=5000ms\nbounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\n\
         bounds.budget_slack=56\nbounds.recover=15s\napp_addr={ip}:8301\nservice={service}\n\
         platform.address={store}\nplatform.form=log\nplatform.writes_per_s=400\n\
         platform.reads_per_s=2000\nplatform.parts=12\nplatform.append=2ms\n\
         platform.partition_mb_s=20.0\nplatform.read_mb_s=80.0\nplatform.record_bytes=262144\n\
         platform.call_bytes=2097152\nplatform.keep=300s\nplatform.partition_mb=200\n\
         platform.min_ttl=1000ms\n"
    )
}
