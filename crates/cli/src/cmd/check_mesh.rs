//! `quetzal check-mesh FILE`: checks a configuration of the users' platform before it is sent, and
//! shows what it changes.
//!
//! Exit codes: 0 no error, 2 errors in the file.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use mesh::MeshConfig;
use mesh::config_check::{
    ConfigChange, ConfigFinding, FindingSeverity, check_config, check_successor, compare_configs,
};
use model::{ErrorKind, KindError};
use platform::PlatformStore;
use platform::config::decode_config;
use proxy::store::StorePort;
use serde::Serialize;

use crate::config::Result;
use crate::output::{outln, print_json};

/// Arguments of `check-mesh`.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(ignore_rustdoc)]
pub struct CheckMeshArgs {
    /// Print JSON
    json: bool,
    #[bpaf(external, optional)]
    in_force: Option<InForce>,
    /// File with the configuration
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Where the version in force is read.
#[derive(Bpaf, Clone, Debug)]
enum InForce {
    File {
        /// Compare with the configuration in this file
        #[bpaf(long("in-force"), argument("FILE"))]
        in_force: PathBuf,
    },
    Store {
        /// Compare with the version in the platform's store
        #[bpaf(argument("IP:PORT"))]
        store: SocketAddr,
    },
}

/// Result of the check.
#[derive(Serialize)]
struct CheckReport {
    version: u64,
    /// Version that the file was compared with.
    in_force: Option<u64>,
    findings: Vec<ConfigFinding>,
    changes: Vec<ConfigChange>,
}

/// Prints the problems of the file, and its differences from the version in force.
pub fn run(args: &CheckMeshArgs) -> Result<ExitCode> {
    let config = read_config(&args.file)?;
    let in_force = args.in_force.as_ref().map(read_in_force).transpose()?;
    let mut findings = check_config(&config);
    let mut changes = Vec::new();
    if let Some(in_force) = &in_force {
        findings.extend(check_successor(&config, in_force));
        changes = compare_configs(in_force, &config);
    }
    let report = CheckReport {
        version: config.version.0,
        in_force: in_force.map(|config| config.version.0),
        findings,
        changes,
    };
    if args.json {
        print_json(&report)?;
    } else {
        print_report(&report);
    }
    let mut findings = report.findings.iter();
    if findings.any(|finding| finding.severity == FindingSeverity::Error) {
        let code = ErrorKind::ListInvalid.properties().exit_code;
        return Ok(ExitCode::from(code));
    }
    Ok(ExitCode::SUCCESS)
}

fn read_config(path: &Path) -> Result<MeshConfig> {
    let bytes = std::fs::read(path).map_err(|error| {
        let detail = format!("{}: {error}", path.display());
        KindError::new(ErrorKind::LocalFailed, detail)
    })?;
    decode_config(&bytes).map_err(|error| {
        let detail = format!("{}: {}", path.display(), error.detail);
        KindError::new(error.kind, detail)
    })
}

fn read_in_force(in_force: &InForce) -> Result<MeshConfig> {
    let address = match in_force {
        InForce::File { in_force } => return read_config(in_force),
        InForce::Store { store } => *store,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| KindError::new(ErrorKind::LocalFailed, error.to_string()))?;
    let page = runtime.block_on(PlatformStore::new(address).newest_config())?;
    page.newest.ok_or_else(|| {
        let detail = format!("{address}: the store holds no configuration");
        KindError::new(ErrorKind::ConfigAbsent, detail)
    })
}

fn print_report(report: &CheckReport) {
    for finding in &report.findings {
        outln!("{finding}");
    }
    if report.findings.is_empty() {
        outln!("version {}: no problems", report.version);
    }
    let Some(in_force) = report.in_force else {
        return;
    };
    outln!("changes from version {in_force}: {}", report.changes.len());
    for change in &report.changes {
        let fields = change.fields.join("; ");
        let line = format!("{} {} {fields}", change.kind, change.entry);
        outln!("  {}", line.trim_end());
    }
}
