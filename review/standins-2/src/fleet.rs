//! A small deployment: the store, the machines, their servers and the operator.

use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::caller::{Answer, call};
use crate::machine::{Bounds, Machine};
use crate::record::Record;
use crate::store::Store;
use crate::target::{Run, Target, TargetPlan};

/// Bounds of the small sites.
pub const SMALL_BOUNDS: Bounds = Bounds {
    grace: "6s",
    config_apply: "2000ms",
    stability_window: "3000ms",
};
/// Bounds of the large site.
pub const LARGE_BOUNDS: Bounds = Bounds {
    grace: "10s",
    config_apply: "3000ms",
    stability_window: "4000ms",
};
/// Name of the host of all routes.
pub const HOST: &str = "shop.example";

/// A route of the configuration.
#[derive(Clone, Copy, Debug)]
pub struct RoutePlan {
    /// Name, which is also its path prefix.
    pub name: &'static str,
    /// Service that it leads to.
    pub service: &'static str,
    /// `safe`, `unsafe` or `upload`.
    pub kind: &'static str,
    /// Timeout and latency objective.
    pub times: (&'static str, &'static str),
    /// Rank; 0 is the highest.
    pub priority: u8,
}

/// A request with all that the requester and the servers saw of it.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the request.
    pub id: String,
    /// Machine on which it was sent.
    pub machine: String,
    /// Path.
    pub path: String,
    /// When it was begun.
    pub began: Instant,
    /// What the requester saw.
    pub answer: Answer,
}

impl Call {
    /// Returns whether a server's success arrived.
    pub fn is_served(&self) -> bool {
        (200..300).contains(&self.answer.status())
            && !self.answer.header("x-response-signature").is_empty()
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The machines.
    pub machines: Vec<Machine>,
    /// The record of the scenario.
    pub record: Record,
    /// All runs at all servers.
    pub runs: Arc<Mutex<Vec<Run>>>,
    store: Store,
    version: AtomicU64,
    next_id: AtomicU64,
    calls: Mutex<Vec<Call>>,
    folder: PathBuf,
}

impl Fleet {
    /// Creates a deployment with one machine for each zone and service; no daemon runs yet.
    pub fn new(plans: &[(&str, &str)], bounds: Bounds, record: &Record) -> io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let network = free_network()?;
        let ip = |last: usize| match network {
            IpAddr::V4(base) => {
                let [first, second, third, _] = base.octets();
                IpAddr::V4(Ipv4Addr::new(first, second, third, last as u8))
            }
            IpAddr::V6(base) => IpAddr::V6(base),
        };
        let store_address = SocketAddr::new(ip(250), 8309);
        let store = Store::start(store_address)?;
        let machines = plans.iter().enumerate().map(|(index, plan)| {
            let name = format!("machine-{}", index + 1);
            let ip = ip(index + 1);
            Machine::new(&name, *plan, ip, store_address, bounds, &folder, record)
        });
        Ok(Self {
            machines: machines.collect::<io::Result<_>>()?,
            record: record.clone(),
            runs: Arc::default(),
            store,
            version: AtomicU64::new(0),
            next_id: AtomicU64::new(0),
            calls: Mutex::default(),
            folder,
        })
    }

    /// Publishes a configuration with `routes`; the version is the next one.
    pub fn publish(&self, routes: &[RoutePlan]) {
        let version = self.version.fetch_add(1, Ordering::SeqCst) + 1;
        let mut services: Vec<&str> = self
            .machines
            .iter()
            .map(|machine| &*machine.service)
            .collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<String> = services
            .iter()
            .map(|name| format!(r#""{name}":{{"health_path":"/health","max_connections":110}}"#))
            .collect();
        let texts: Vec<String> = routes
            .iter()
            .map(|route| {
                let (name, service, kind) = (route.name, route.service, route.kind);
                let priority = route.priority;
                let (timeout, objective) = route.times;
                format!(
                    r#""{name}":{{"host":"{HOST}","path_prefix":"/{name}/","service":"{service}","kind":"{kind}","timeout":"{timeout}","target_latency":"{objective}","max_attempts":2,"priority":{priority}}}"#
                )
            })
            .collect();
        let text = format!(
            r#"{{"version":"r{version}","routes":{{{}}},"services":{{{}}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"5s","idle_timeout":"30s"}}}}"#,
            texts.join(","),
            services.join(",")
        );
        self.store.publish("config", &text);
        let names: Vec<&str> = routes.iter().map(|route| route.name).collect();
        self.record.line(&format!(
            "operator writes r{version}: routes {}",
            names.join(", ")
        ));
    }

    /// Starts a server on `machine` under the id `name`.
    pub fn start_target(&self, machine: usize, name: &str) -> io::Result<Target> {
        let machine = &self.machines[machine];
        let plan = TargetPlan {
            name: name.to_owned(),
            service: machine.service.clone(),
            zone: machine.zone.clone(),
            address: machine.at(8301),
            control: machine.control(),
        };
        Target::start(plan, Arc::clone(&self.runs), &self.record)
    }

    /// Starts all daemons and waits until they are ready.
    pub fn start_daemons(&self) -> Result<(), String> {
        for machine in &self.machines {
            machine
                .start()
                .map_err(|error| format!("{}: {error}", machine.name))?;
        }
        for machine in &self.machines {
            machine.wait_until_ready()?;
        }
        Ok(())
    }

    /// Sends a request on a new connection of `machine` and records it.
    pub fn send(
        &self,
        machine: usize,
        method: &str,
        path: &str,
        body: &[u8],
        deadline: Duration,
    ) -> Call {
        let id = self.fresh_id();
        let machine = &self.machines[machine];
        let deadline_text = deadline.as_millis().to_string();
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &*id),
            ("X-Request-Deadline", &*deadline_text),
        ];
        let began = Instant::now();
        let answer = call(machine.outbound(), method, path, &headers, body, deadline);
        let call = Call {
            id,
            machine: machine.name.clone(),
            path: path.to_owned(),
            began,
            answer,
        };
        self.record_call(method, call)
    }

    /// Returns a request id that was not used before.
    pub fn fresh_id(&self) -> String {
        let number = self.next_id.fetch_add(1, Ordering::SeqCst);
        format!("{:08x}{number:08x}", std::process::id())
    }

    /// Adds a request to the record and to those that are judged.
    pub fn record_call(&self, method: &str, call: Call) -> Call {
        let origin = match call.answer.header("x-response-signature") {
            "" => call.answer.header("x-quetzal-error").to_owned(),
            signature => format!("signature {signature}"),
        };
        self.record.line(&format!(
            "request {} {method} {} on {}: {} {origin}{} after {:.3} s",
            call.id,
            call.path,
            call.machine,
            call.answer.status(),
            call.answer.failure,
            call.began.elapsed().as_secs_f64()
        ));
        lock(&self.calls).push(call.clone());
        call
    }

    /// Returns all requests whose answers have arrived or whose connections have ended.
    pub fn calls(&self) -> Vec<Call> {
        lock(&self.calls).clone()
    }

    /// Returns the runs of a request.
    pub fn runs_of(&self, id: &str) -> Vec<Run> {
        let runs = lock(&self.runs);
        runs.iter().filter(|run| run.id == id).cloned().collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in &self.machines {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            // Logs of the daemons; a leftover folder harms nothing.
            drop(fs::remove_dir_all(&self.folder));
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

/// Finds a loopback network whose ports are free.
fn free_network() -> io::Result<IpAddr> {
    let start = std::process::id();
    for step in 0..200_u32 {
        let number = start.wrapping_add(step.wrapping_mul(7919));
        let second = 20 + (number / 250 % 200) as u8;
        let third = (number % 250) as u8;
        let network = IpAddr::V4(Ipv4Addr::new(127, second, third, 0));
        let free = [1_u8, 2, 3, 250].into_iter().all(|last| {
            let ip = IpAddr::V4(Ipv4Addr::new(127, second, third, last));
            let ports = [8300, 8301, 8302, 8304, 8306, 8309, 9464];
            ports
                .into_iter()
                .all(|port| TcpListener::bind((ip, port)).is_ok())
        });
        if free {
            return Ok(network);
        }
    }
    Err(io::Error::new(io::ErrorKind::AddrInUse, "no free ports"))
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
