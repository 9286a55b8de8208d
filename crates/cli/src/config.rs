//! What every subcommand shares: which daemon to ask and how to print.

use std::net::SocketAddr;

use bpaf::Bpaf;
use model::{AuthorName, ErrorKind, KindError};

/// Results of the subcommands.
pub type Result<T> = model::Result<T>;

/// Which daemon to ask.
#[derive(Bpaf, Clone, Debug)]
pub struct DaemonArgs {
    /// Operator address of any daemon
    #[bpaf(
        argument("IP:PORT"),
        env("QUETZAL_DAEMON"),
        fallback(SocketAddr::from(([127, 0, 0, 1], 7402))),
        display_fallback
    )]
    pub daemon: SocketAddr,
    /// Address of the log service, if not the one that the daemon uses
    #[bpaf(argument("URL"), env("QUETZAL_LOG"), optional)]
    pub log: Option<String>,
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
