//! Command-line options shared by the subcommands: daemons, log service and author.

use std::fmt;
use std::net::{AddrParseError, SocketAddr};
use std::str::FromStr;

use bpaf::Bpaf;
use model::{AuthorName, ErrorKind, KindError};

/// Result of the subcommands.
pub type Result<T> = model::Result<T>;

/// Daemon and log service to use.
#[derive(Bpaf, Clone, Debug)]
pub struct DaemonArgs {
    /// Operator address of a daemon, or several separated by commas: the first that answers is used
    #[bpaf(
        argument("IP:PORT"),
        env("QUETZAL_DAEMON"),
        fallback(DaemonList::from(SocketAddr::from(([127, 0, 0, 1], 7402)))),
        display_fallback
    )]
    pub daemon: DaemonList,
    /// URL of the log service, if other than the one that the daemon uses
    #[bpaf(argument("URL"), env("QUETZAL_LOG"), optional)]
    pub log: Option<String>,
}

/// A non-empty, comma-separated list of operator addresses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonList(Box<[SocketAddr]>);

impl DaemonList {
    /// Returns the addresses, at least one.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.0
    }
}

impl From<SocketAddr> for DaemonList {
    fn from(address: SocketAddr) -> Self {
        Self([address].into())
    }
}

impl FromStr for DaemonList {
    type Err = String;

    fn from_str(text: &str) -> std::result::Result<Self, String> {
        let parse = |part: &str| {
            let parsed = part.trim().parse();
            parsed.map_err(|error: AddrParseError| {
                format!("{error}; expected IP:PORT, such as 127.0.0.1:7402")
            })
        };
        let addresses = text.split(',').map(parse);
        addresses.collect::<std::result::Result<_, _>>().map(Self)
    }
}

impl fmt::Display for DaemonList {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, address) in self.0.iter().enumerate() {
            let comma = if index == 0 { "" } else { "," };
            write!(f, "{comma}{address}")?;
        }
        Ok(())
    }
}

/// Author and note of the change.
#[derive(Bpaf, Clone, Debug)]
pub struct AuthorArgs {
    /// Name of the author
    #[bpaf(argument("NAME"), env("USER"), optional)]
    author: Option<String>,
    /// Reason for the change, in one line
    #[bpaf(short('m'), long, argument("TEXT"), fallback(String::new()))]
    pub note: String,
}

impl AuthorArgs {
    /// Returns the given author, or the user who runs the command.
    pub fn author(&self) -> Result<AuthorName> {
        match self.author.as_deref() {
            Some(name) => name.parse(),
            None => Err(KindError::new(
                ErrorKind::RequestInvalid,
                "no author is given; name one with --author NAME",
            )),
        }
    }
}
