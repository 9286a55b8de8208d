//! What every subcommand shares: which daemon to ask and how to print.

use std::fmt;
use std::net::{AddrParseError, SocketAddr};
use std::str::FromStr;

use bpaf::Bpaf;
use model::{AuthorName, ErrorKind, KindError};

/// Results of the subcommands.
pub type Result<T> = model::Result<T>;

/// Which daemon to ask.
#[derive(Bpaf, Clone, Debug)]
pub struct DaemonArgs {
    /// Operator address of any daemon; of several, parted by commas, the first that answers
    #[bpaf(
        argument("IP:PORT"),
        env("QUETZAL_DAEMON"),
        fallback(DaemonList::from(SocketAddr::from(([127, 0, 0, 1], 7402)))),
        display_fallback
    )]
    pub daemon: DaemonList,
    /// Address of the log service, if not the one that the daemon uses
    #[bpaf(argument("URL"), env("QUETZAL_LOG"), optional)]
    pub log: Option<String>,
}

/// Operator addresses of daemons, parted by commas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DaemonList(Box<[SocketAddr]>);

impl DaemonList {
    /// The addresses; at least one.
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
        let read = |part: &str| {
            let parsed = part.trim().parse();
            parsed.map_err(|error: AddrParseError| {
                format!("{error}; write IP:PORT, such as 127.0.0.1:7402")
            })
        };
        let addresses = text.split(',').map(read);
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

/// Who publishes, and why.
#[derive(Bpaf, Clone, Debug)]
pub struct AuthorArgs {
    /// Who publishes
    #[bpaf(argument("NAME"), env("USER"), optional)]
    author: Option<String>,
    /// Why, in one line
    #[bpaf(short('m'), long, argument("TEXT"), fallback(String::new()))]
    pub note: String,
}

impl AuthorArgs {
    /// The author named, or the user who runs the command.
    pub fn author(&self) -> Result<AuthorName> {
        match self.author.as_deref() {
            Some(name) => name.parse(),
            None => Err(KindError::new(
                ErrorKind::RequestInvalid,
                "name the author with --author NAME",
            )),
        }
    }
}
