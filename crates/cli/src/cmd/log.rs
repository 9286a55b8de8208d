//! `quetzal log serve`: runs an in-memory log service for tests and demonstrations.
//! `quetzal log fault`: injects faults into it.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;

use bpaf::Bpaf;
use feed::{LogFaults, LogSettings, MemoryLog, serve};
use model::{ErrorKind, KindError, SystemClock};

use crate::config::Result;

/// Arguments of `log`.
#[derive(Bpaf, Clone, Debug)]
pub enum LogArgs {
    /// Serve streams from memory until the process ends
    #[bpaf(command)]
    Serve {
        /// Address to listen on
        #[bpaf(
            argument("IP:PORT"),
            fallback(SocketAddr::from(([127, 0, 0, 1], 7400))),
            display_fallback
        )]
        address: SocketAddr,
        /// Maximum number of appends per second
        #[bpaf(argument("COUNT"), fallback(300), display_fallback)]
        appends_per_s: u32,
        /// Maximum number of reads per second
        #[bpaf(argument("COUNT"), fallback(300), display_fallback)]
        reads_per_s: u32,
        /// Seconds after which records expire
        #[bpaf(argument("SECONDS"), fallback(86_400), display_fallback)]
        retention_s: u64,
    },
    /// Inject faults into a running in-memory log service; without options, end them
    #[bpaf(command)]
    Fault {
        /// Address of the log service
        #[bpaf(
            argument("IP:PORT"),
            fallback(SocketAddr::from(([127, 0, 0, 1], 7400))),
            display_fallback
        )]
        address: SocketAddr,
        /// Reject every request as unavailable
        outage: bool,
        /// Milliseconds by which every answer is delayed
        #[bpaf(argument("MS"), fallback(0))]
        delay_ms: u64,
        /// Number of following appends that take effect but whose answers are lost
        #[bpaf(argument("COUNT"), fallback(0))]
        lost_answers: u32,
    },
}

/// Serves until the process ends, or sets faults.
pub fn run(args: &LogArgs) -> Result<ExitCode> {
    match *args {
        LogArgs::Serve {
            address,
            appends_per_s,
            reads_per_s,
            retention_s,
        } => {
            let settings = LogSettings {
                appends_per_s,
                reads_per_s,
                retention_s,
            };
            serve_log(address, settings)
        }
        LogArgs::Fault {
            address,
            outage,
            delay_ms,
            lost_answers,
        } => {
            let faults = LogFaults {
                outage,
                delay_ms,
                lost_answers,
            };
            set_faults(address, faults)
        }
    }
}

fn serve_log(address: SocketAddr, settings: LogSettings) -> Result<ExitCode> {
    let log = Arc::new(MemoryLog::new(settings, SystemClock::shared()));
    let server = serve(&log, address)?;
    println!("log service on http://{}", server.address());
    server.serve_forever()
}

fn set_faults(address: SocketAddr, faults: LogFaults) -> Result<ExitCode> {
    let url = format!("http://{address}/v1/faults");
    let body = serde_json::to_vec(&faults)
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
    ureq::put(url)
        .send(&body)
        .map_err(|error| KindError::new(ErrorKind::LogUnavailable, error.to_string()))?;
    println!(
        "outage {}, delay {} ms, {} answers will be lost",
        faults.outage, faults.delay_ms, faults.lost_answers
    );
    Ok(ExitCode::SUCCESS)
}
