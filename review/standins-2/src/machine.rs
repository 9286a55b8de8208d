//! Machines: a daemon process and the addresses of its machine.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::caller::call;
use crate::record::Record;

/// Time for a daemon to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time for an answer to a readiness check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Bounds of a deployment as in its settings files.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Time between SIGTERM and SIGKILL.
    pub grace: &'static str,
    /// Time within which a configuration is in force.
    pub config_apply: &'static str,
    /// Time without disruption after which a machine is in touch.
    pub stability_window: &'static str,
}

/// A machine with its daemon.
#[derive(Debug)]
pub struct Machine {
    /// Name of the machine.
    pub name: String,
    /// Zone of the machine.
    pub zone: String,
    /// Service of its server.
    pub service: String,
    ip: IpAddr,
    settings: PathBuf,
    log: PathBuf,
    program: PathBuf,
    child: Mutex<Option<Child>>,
    record: Record,
}

impl Machine {
    /// Writes the settings of a machine; its daemon is not started yet.
    pub fn new(
        name: &str,
        (zone, service): (&str, &str),
        ip: IpAddr,
        store: SocketAddr,
        bounds: Bounds,
        folder: &Path,
        record: &Record,
    ) -> io::Result<Self> {
        let settings = folder.join(format!("{name}.conf"));
        let Bounds {
            grace,
            config_apply,
            stability_window,
        } = bounds;
        let text = format!(
            "node_name={name}\nrole=daemon\nmachine_class=sidecar\nserves=sidecar\nip={ip}\n\
             zone={zone}\nregion=region-1\nzones.zone-a=region-1\nzones.zone-b=region-1\n\
             listen.inbound={ip}:8300\nlisten.outbound={ip}:8304\nlisten.ready={ip}:8302\n\
             listen.control={ip}:8306\nport_range=7620,7635\nseeds=\nbootstrap=true\n\
             in_tolerance=false\nlimits.cpu_share=0.2\nlimits.cores=1\nlimits.memory_mb=110\n\
             limits.max_fds=4100\nlimits.link_mbps=1000.0\nlimits.disk_mb=0\ndiscovery=static\n\
             entry=static\nheartbeat=1500ms\n\
             contracts=base,drain,config,cost,retry,recover,platform\ntolerate.machines=1\n\
             tolerate.zones=0\ntolerate.regions=0\nbounds.seed_lag=3s\nbounds.reuse_after=2s\n\
             bounds.stability_window={stability_window}\nbounds.ack=4000ms\n\
             bounds.catch_up=4s\nbounds.drain=2000ms\nbounds.grace={grace}\n\
             bounds.loss_slack=200ms\nbounds.config_apply={config_apply}\n\
             bounds.rollback_slack=250ms\nbounds.max_stretch=5000ms\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window=10s\nbounds.budget_slack=56\n\
             bounds.recover=15s\napp_addr={ip}:8301\nservice={service}\n\
             platform.address={store}\nplatform.form=log\nplatform.writes_per_s=400\n\
             platform.reads_per_s=2000\nplatform.parts=12\nplatform.append=2ms\n\
             platform.partition_mb_s=20.0\nplatform.read_mb_s=80.0\n\
             platform.record_bytes=262144\nplatform.call_bytes=2097152\nplatform.keep=300s\n\
             platform.partition_mb=200\nplatform.min_ttl=1000ms\n"
        );
        fs::write(&settings, text)?;
        Ok(Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            ip,
            settings,
            log: folder.join(format!("{name}.log")),
            program: PathBuf::from("target/release/quetzald"),
            child: Mutex::default(),
            record: record.clone(),
        })
    }

    /// Returns the address with `port` on this machine.
    pub fn at(&self, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip, port)
    }

    /// Returns the address for callers.
    pub fn outbound(&self) -> SocketAddr {
        self.at(8304)
    }

    /// Returns the address for status reports.
    pub fn control(&self) -> SocketAddr {
        self.at(8306)
    }

    /// Starts the daemon with the command of the deploy file.
    pub fn start(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let mut command = Command::new(&self.program);
        command.arg("--platform").env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        let child = command
            .env("QUETZALPULLEY_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(&format!("daemon {} starts", self.name));
        *self.child.lock().unwrap_or_else(PoisonError::into_inner) = Some(child);
        Ok(())
    }

    /// Waits until the readiness check succeeds.
    pub fn wait_until_ready(&self) -> Result<(), String> {
        let started = Instant::now();
        while started.elapsed() < READY_TIMEOUT {
            if self.is_ready() {
                self.record.line(&format!("daemon {} is ready", self.name));
                return Ok(());
            }
            thread::sleep(Duration::from_millis(50));
        }
        Err(format!("daemon {} is not ready in time", self.name))
    }

    /// Returns whether the readiness check answers 200.
    pub fn is_ready(&self) -> bool {
        let headers = [("Host", "ready")];
        let answer = call(
            self.at(8302),
            "GET",
            "/v1/ready",
            &headers,
            b"",
            CHECK_TIMEOUT,
        );
        answer.status() == 200
    }

    /// Kills the daemon (SIGKILL).
    pub fn kill(&self) {
        let child = self
            .child
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take();
        if let Some(mut child) = child {
            self.record.line(&format!("daemon {} is killed", self.name));
            // The child may have ended by itself.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal to the daemon, by its name without `SIG`.
    pub fn signal(&self, signal: &str) -> Result<(), String> {
        let child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let child = child.as_ref().ok_or("no daemon")?;
        self.record
            .line(&format!("daemon {} gets SIG{signal}", self.name));
        let sent = Command::new("sh")
            .args(["-c", &format!("kill -{signal} {}", child.id())])
            .status()
            .map_err(|error| error.to_string())?;
        sent.success()
            .then_some(())
            .ok_or_else(|| "kill failed".to_owned())
    }

    /// Returns whether the daemon has ended.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.lock().unwrap_or_else(PoisonError::into_inner);
        let child = child.as_mut().map(Child::try_wait);
        !matches!(child, Some(Ok(None)))
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}
