//! Detects from the daemons, the log and the folder whether the log lost records, and
//! decides whether a rebase is allowed.

use daemon::status::StatusReport;
use model::{ConfigVersion, ErrorKind, KindError, LogOffset, ensure};
use plans::ConfigState;

use crate::config::Result;
use crate::folder::ListFolder;
use crate::rebase_log::RebaseLog;

/// Kind of loss that affected the log.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogLoss {
    /// No loss is known.
    None,
    /// The daemons have read records that the log no longer contains.
    Diverged,
    /// Records expired before the daemons read them.
    ExpiredUnread,
    /// The folder was made from a version that this log does not contain.
    FolderFromOtherLog,
}

impl LogLoss {
    /// Returns the loss that the daemon detected itself or that other daemons reported to it.
    ///
    /// The loss is recognized by phrases in the displayed log state and lag reasons.
    pub fn reported(status: &StatusReport) -> Self {
        let own = status.log.iter().map(|log| &**log);
        let laggards = status.fleet.laggards.iter().map(|lag| &*lag.reason);
        let reasons: Vec<&str> = own.chain(laggards).collect();
        let mentions = |phrase: &str| reasons.iter().any(|text| text.contains(phrase));
        if mentions("diverged") {
            Self::Diverged
        } else if mentions("expired unread") {
            Self::ExpiredUnread
        } else {
            Self::None
        }
    }

    /// Returns this loss, or else the one that only the folder gives evidence of.
    ///
    /// After a restart on a new log, no daemon remembers the old one.
    pub fn or_from_folder(self, folder: Option<&ListFolder>, log: &RebaseLog) -> Self {
        let pair = folder.zip(log.state());
        let from_other_log = pair.is_some_and(|(folder, state)| folder.base.check(state).is_err());
        match self {
            Self::None if from_other_log => Self::FolderFromOtherLog,
            loss => loss,
        }
    }
}

/// Information that decides whether a rebase is allowed and to which version.
#[derive(Debug)]
pub struct RebaseContext<'a> {
    pub loss: LogLoss,
    pub status: &'a StatusReport,
    pub state: &'a ConfigState,
    pub folder: Option<&'a ListFolder>,
    pub log: &'a RebaseLog,
}

impl RebaseContext<'_> {
    /// Refuses a rebase without lists to continue with or with an outdated folder and, unless
    /// `force` is set, one without a known loss or one that may lose changes.
    pub fn check(&self, force: bool) -> Result<()> {
        if self.daemons_hold_nothing() {
            let detail = "no daemon holds a configuration; \
                          name the folder with the lists: quetzal rebase DIR";
            ensure(self.folder.is_some(), ErrorKind::ConfigAbsent, detail)?;
        }
        let allowed = force || self.loss != LogLoss::None;
        let detail =
            "no daemon reports that the log lost records; ask another daemon, or use --force";
        ensure(allowed, ErrorKind::ChangeRefused, detail)?;
        self.check_folder()?;
        if force {
            return Ok(());
        }
        if self.daemons_hold_nothing() {
            self.check_unreporting_daemons()?;
            self.check_missing_changes()?;
        }
        if self.loss == LogLoss::FolderFromOtherLog {
            self.check_published_changes()?;
        }
        Ok(())
    }

    /// Returns the highest version that any daemon may hold, as far as is known.
    pub fn highest_possible_version(&self) -> ConfigVersion {
        let log_end = self.log.next_offset().0;
        let unread = log_end.saturating_sub(self.state.next_offset().0);
        let number = self.state.base().number() + unread;
        // The number of a version is the offset of its record plus 1.
        let last_offset = number.checked_sub(1).map(LogOffset);
        let last_version = last_offset.map_or(ConfigVersion::NONE, ConfigVersion::at);
        let base = self
            .folder
            .map_or(ConfigVersion::NONE, |folder| folder.base.version);
        last_version.max(base).max(self.log.estimated_end_version())
    }

    /// Returns the maximum number of expired records whose changes the lists may lack.
    ///
    /// 0 unless records expired before the daemons read them.
    pub fn possibly_missing(&self) -> u64 {
        let base = self
            .folder
            .map_or(self.state.base(), |folder| folder.base.version);
        let missing = self.highest_possible_version().number() - base.number();
        if self.loss == LogLoss::ExpiredUnread {
            missing
        } else {
            0
        }
    }

    fn daemons_hold_nothing(&self) -> bool {
        self.state.base() == ConfigVersion::NONE
    }

    /// Fails if the folder lacks changes that the daemons have accepted.
    fn check_folder(&self) -> Result<()> {
        let Some(folder) = self.folder else {
            return Ok(());
        };
        if self.loss == LogLoss::FolderFromOtherLog {
            // Versions of different logs are not comparable; `check_published_changes`
            // covers the changes accepted on this log.
            return Ok(());
        }
        let (base, version) = (folder.base.version, self.state.version());
        let detail = format!("the folder holds version {base}, in force is {version}; pull first");
        ensure(base >= version, ErrorKind::ChangeConflict, &detail)
    }

    /// Fails if some daemons do not report, since they may hold the configuration.
    fn check_unreporting_daemons(&self) -> Result<()> {
        let fleet = &self.status.fleet;
        let reporting: u32 = fleet.versions.iter().map(|count| count.daemons).sum();
        let unreporting = fleet.members.saturating_sub(reporting);
        let detail = format!(
            "{unreporting} of {} daemons do not report and may hold the configuration; \
             bring them back, or use --force",
            fleet.members
        );
        ensure(unreporting == 0, ErrorKind::ChangeRefused, &detail)
    }

    /// Fails if changes may have been accepted after the folder's base.
    ///
    /// Used if no daemon holds a configuration that would show whether the folder is outdated.
    fn check_missing_changes(&self) -> Result<()> {
        let missing = self.possibly_missing();
        let base = self
            .folder
            .map_or(ConfigVersion::NONE, |folder| folder.base.version);
        let detail = format!(
            "up to {missing} changes came after version {base}, which the folder is based on; \
             find the newest copy of the folder, repeat what it lacks, then use --force"
        );
        ensure(missing == 0, ErrorKind::ChangeConflict, &detail)
    }

    /// Fails if changes were accepted on the new log, since the rebase would revert them.
    fn check_published_changes(&self) -> Result<()> {
        let Some(last) = self.state.history().next_back() else {
            return Ok(());
        };
        let detail = format!(
            "version {} by {} was published on the new log and would be reverted; \
             see quetzal history, repeat the change in the folder, then use --force",
            last.version, last.author
        );
        Err(KindError::new(ErrorKind::ChangeConflict, detail))
    }
}
