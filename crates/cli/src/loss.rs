//! What daemons, log and folder tell of a loss, and whether a rebase may mend it.

use daemon::status::StatusReport;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset, ensure};
use plans::ConfigState;

use crate::config::Result;
use crate::folder::ListFolder;
use crate::rebase_log::RebaseLog;

/// What happened to the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLoss {
    /// Nobody knows of a loss.
    None,
    /// Daemons hold records that the log no longer holds.
    Diverged,
    /// Records expired that the daemons did not read.
    ExpiredUnread,
    /// The folder was made from a version that the log does not hold.
    FolderFromOtherLog,
}

impl LogLoss {
    /// What the daemon found or heard.
    pub fn reported(status: &StatusReport) -> Self {
        let own = status.log.iter().map(|log| &**log);
        let laggards = status.fleet.laggards.iter().map(|lag| &*lag.reason);
        let told: Vec<&str> = own.chain(laggards).collect();
        let says = |word: &str| told.iter().any(|text| text.contains(word));
        if says("diverged") {
            Self::Diverged
        } else if says("expired unread") {
            Self::ExpiredUnread
        } else {
            Self::None
        }
    }

    /// The same, where only the folder may know of a loss that no process remembers.
    pub fn or_from_folder(self, folder: Option<&ListFolder>, log: &RebaseLog) -> Self {
        let told = folder.zip(log.state());
        let other = told.is_some_and(|(folder, state)| folder.base.check(state).is_err());
        match self {
            Self::None if other => Self::FolderFromOtherLog,
            loss => loss,
        }
    }
}

/// What a rebase would be made from.
#[derive(Debug)]
pub struct RebaseContext<'a> {
    pub loss: LogLoss,
    pub status: &'a StatusReport,
    pub state: &'a ConfigState,
    pub folder: Option<&'a ListFolder>,
    pub log: &'a RebaseLog,
}

impl RebaseContext<'_> {
    /// Refuses what no operator can want; unless forced, also what few want.
    pub fn check(&self, force: bool) -> Result<()> {
        if self.daemons_hold_nothing() {
            let detail = "no daemon holds a configuration; \
                          name the folder with the lists: quetzal rebase DIR";
            ensure(self.folder.is_some(), ErrorKind::ConfigAbsent, detail)?;
        }
        let needed = force || self.loss != LogLoss::None;
        let detail = "no daemon reports that the log lost records; ask another one, or use --force";
        ensure(needed, ErrorKind::ChangeRefused, detail)?;
        self.check_folder()?;
        if force {
            return Ok(());
        }
        if self.daemons_hold_nothing() {
            self.check_unheard_daemons()?;
            self.check_missing_changes()?;
        }
        if self.loss == LogLoss::FolderFromOtherLog {
            self.check_published_changes()?;
        }
        Ok(())
    }

    /// The highest number that any daemon may hold, as far as can be known.
    pub fn highest_possible_version(&self) -> ConfigVersion {
        let unread = self.log.next_offset().0;
        let unread = unread.saturating_sub(self.state.next_offset().0);
        let number = self.state.base().number() + unread;
        let read = number.checked_sub(1).map(LogOffset);
        let read = read.map_or(ConfigVersion::NONE, ConfigVersion::at);
        let base = self
            .folder
            .map_or(ConfigVersion::NONE, |folder| folder.base.version);
        read.max(base).max(self.log.highest_end_version())
    }

    /// Records of the log that the lists may lack, if some expired unread.
    pub fn possibly_missing(&self) -> u64 {
        let own = self
            .folder
            .map_or(self.state.base(), |folder| folder.base.version);
        let missing = self.highest_possible_version().number() - own.number();
        if self.loss == LogLoss::ExpiredUnread {
            missing
        } else {
            0
        }
    }

    fn daemons_hold_nothing(&self) -> bool {
        self.state.base() == ConfigVersion::NONE
    }

    /// The folder must hold all that the daemons accepted.
    fn check_folder(&self) -> Result<()> {
        let Some(folder) = self.folder else {
            return Ok(());
        };
        if self.loss == LogLoss::FolderFromOtherLog {
            // Versions of two logs do not compare; what is in force is weighed apart.
            return Ok(());
        }
        let (base, version) = (folder.base.version, self.state.version());
        let detail = format!("the folder holds version {base}, in force is {version}; pull first");
        ensure(base >= version, ErrorKind::ChangeConflict, &detail)
    }

    /// A daemon that does not report may hold the configuration.
    fn check_unheard_daemons(&self) -> Result<()> {
        let fleet = &self.status.fleet;
        let heard: u32 = fleet.versions.iter().map(|count| count.daemons).sum();
        let silent = fleet.members.saturating_sub(heard);
        let detail = format!(
            "{silent} of {} daemons do not report and may hold the configuration; \
             bring them back, or use --force",
            fleet.members
        );
        ensure(silent == 0, ErrorKind::ChangeRefused, &detail)
    }

    /// Nobody but the folder knows the lists, and it may be an old one.
    fn check_missing_changes(&self) -> Result<()> {
        let missing = self.possibly_missing();
        let base = self
            .folder
            .map_or(ConfigVersion::NONE, |folder| folder.base.version);
        let detail = format!(
            "up to {missing} changes came after version {base}, from which the folder was made; \
             take the newest folder that a colleague has, repeat what it lacks, then use --force"
        );
        ensure(missing == 0, ErrorKind::ChangeConflict, &detail)
    }

    /// Changes accepted on the new log would be taken back.
    fn check_published_changes(&self) -> Result<()> {
        let Some(last) = self.state.history().next_back() else {
            return Ok(());
        };
        let detail = format!(
            "version {} by {} was published on the new log and would be taken back; \
             look at quetzal history, repeat it in the folder, then use --force",
            last.version, last.author
        );
        Err(KindError::new(ErrorKind::ChangeConflict, detail))
    }
}
