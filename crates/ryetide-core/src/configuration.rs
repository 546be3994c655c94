//! The services text in force on this entry VM, and an operator's edit on its way into the table.
//!
//! A text is accepted by a compare-and-swap of its row in the table service, with the edit's
//! operation id written alongside. When the answer to that write is lost, the same edit is tried
//! again against the same version: whichever of the two writes comes first wins, and the row then
//! says whose it was. Revisions reach the VMs from the table and from peers; a lower one never
//! replaces a higher one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalog::ServiceCatalog,
    chart::{self, ConfigurationEvent, ConfigurationState},
    effect::{ApplyOutcome, Effect, EffectBuffer, Notice},
    event::{TableAnswer, TableCommand, TableRow},
    ids::{OperationId, TableToken, VmName},
    json_form,
    message::ConfigurationText,
    safeguard::SafeguardSwitches,
    units::{Moment, Revision},
};

/// The key of the row that holds the services text.
pub const CONFIGURATION_KEY: &str = "configuration";
/// How many earlier edits a row names.
const RECENT_LIMIT: usize = 16;
/// Time between tries while an edit's outcome is uncertain.
const SETTLE_PAUSE: Duration = Duration::from_millis(200);
/// An operator waits at most this long for an edit's outcome.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);
/// The table's readers together stay under this rate.
const TABLE_READS_PER_SECOND: u64 = 100;
/// The shortest time between two reads of the row by one VM.
const READ_LEAST: Duration = Duration::from_secs(1);
/// A read that was not answered is given up after this long.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// What the row holds.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ConfigurationRow {
    revision: Revision,
    operation: OperationId,
    #[serde(default)]
    recent: Vec<OperationId>,
    text: String,
}

/// An operator's edit under way.
#[derive(Debug)]
struct PendingEdit {
    operation: OperationId,
    base: Option<Revision>,
    text: String,
    started: Moment,
    /// The row as first read, against whose version every try is written.
    target: Option<(u64, ConfigurationRow)>,
    /// The revision in force when the row was first read.
    floor: Revision,
    token: TableToken,
    /// Whether a write was sent whose answer is not known.
    write_open: bool,
    retry_at: Option<Moment>,
}

/// Keeps the configuration of one entry VM.
#[derive(Debug)]
pub struct ConfigurationKeeper {
    switches: SafeguardSwitches,
    state: ConfigurationState,
    text: Option<ConfigurationText>,
    catalog: ServiceCatalog,
    known_version: Option<u64>,
    read: Option<(TableToken, Moment)>,
    read_at: Moment,
    pull_at: Moment,
    edit: Option<PendingEdit>,
}

impl ConfigurationKeeper {
    /// Creates a keeper with nothing in force.
    pub fn new(switches: SafeguardSwitches) -> Self {
        Self {
            switches,
            state: chart::configuration().initial(),
            text: None,
            catalog: ServiceCatalog::default(),
            known_version: None,
            read: None,
            read_at: Moment::default(),
            pull_at: Moment::default(),
            edit: None,
        }
    }

    /// Returns the catalog in force; empty while nothing is.
    pub fn catalog(&self) -> &ServiceCatalog {
        &self.catalog
    }

    /// Returns the text in force.
    pub fn in_force(&self) -> Option<&ConfigurationText> {
        self.text.as_ref()
    }

    /// Returns the revision in force; 0 while nothing is.
    pub fn revision(&self) -> Revision {
        self.text.as_ref().map_or(Revision(0), |text| text.revision)
    }

    /// Returns the state.
    pub fn state(&self) -> ConfigurationState {
        self.state
    }

    /// Puts `text` in force if its revision is higher; returns whether it did.
    pub fn adopt(
        &mut self,
        text: ConfigurationText,
        from_peer: Option<VmName>,
        effects: &mut EffectBuffer,
    ) -> bool {
        let rises = text.revision > self.revision();
        if text.revision == self.revision() || (!rises && self.switches.revision_rises) {
            return false;
        }
        match ServiceCatalog::parse(&text.text) {
            Ok(catalog) => self.catalog = catalog,
            Err(faults) => {
                let (revision, fault) = (text.revision, faults.to_string());
                effects.push(Effect::Note(Notice::RevisionUnreadable { revision, fault }));
                return false;
            }
        }
        let revision = text.revision;
        self.text = Some(text);
        chart::configuration().advance(&mut self.state, ConfigurationEvent::Adopt);
        effects.push(Effect::Note(Notice::RevisionInForce { revision, from_peer }));
        true
    }

    /// Decides whether to ask a peer that has `revision` for its text: not more often than needed
    /// for a lost answer.
    pub fn wants_from_peer(&mut self, now: Moment, revision: Revision) -> bool {
        let wanted = revision > self.revision() && now >= self.pull_at;
        if wanted {
            self.pull_at = now + SETTLE_PAUSE;
        }
        wanted
    }

    /// Starts an operator's edit.
    pub fn apply(
        &mut self,
        now: Moment,
        operation: OperationId,
        base: Option<Revision>,
        text: String,
        token: TableToken,
        effects: &mut EffectBuffer,
    ) {
        if self.edit.is_some() {
            effects.push(Effect::ApplyDone { operation, outcome: ApplyOutcome::Busy });
            return;
        }
        chart::configuration().advance(&mut self.state, ConfigurationEvent::Apply);
        self.edit = Some(PendingEdit {
            operation,
            base,
            text,
            started: now,
            target: None,
            floor: self.revision(),
            token,
            write_open: false,
            retry_at: None,
        });
        self.read_for_edit(token, effects);
    }

    fn read_for_edit(&mut self, token: TableToken, effects: &mut EffectBuffer) {
        if let Some(edit) = &mut self.edit {
            edit.token = token;
            edit.retry_at = None;
        }
        let command = TableCommand::Read { key: CONFIGURATION_KEY.to_owned(), known: None };
        effects.push(Effect::Table { token, command });
    }

    /// Takes an answer of the table service; returns whether `token` was this keeper's and, if a
    /// higher revision came into force, that.
    pub fn handle_table(
        &mut self,
        now: Moment,
        token: TableToken,
        answer: &TableAnswer,
        next_token: &mut impl FnMut() -> TableToken,
        effects: &mut EffectBuffer,
    ) -> TableHandling {
        if self.read.is_some_and(|(own, _)| own == token) {
            self.read = None;
            return TableHandling { taken: true, adopted: self.take_row(answer, effects) };
        }
        if self.edit.as_ref().is_some_and(|edit| edit.token == token) {
            let before = self.revision();
            self.advance_edit(now, answer, next_token, effects);
            return TableHandling { taken: true, adopted: self.revision() != before };
        }
        TableHandling { taken: false, adopted: false }
    }

    /// Puts a row that was read in force, if it is higher.
    fn take_row(&mut self, answer: &TableAnswer, effects: &mut EffectBuffer) -> bool {
        let TableAnswer::Row(Some(row)) = answer else {
            return false;
        };
        self.known_version = Some(row.version);
        let found = match read_row(Some(row)) {
            Ok(found) => found,
            Err(notice) => {
                effects.push(Effect::Note(notice));
                return false;
            }
        };
        if found.revision < self.revision() {
            // The platform restored an older copy: an accepted revision must not revert with it.
            let notice =
                Notice::RevisionWentBack { found: found.revision, in_force: self.revision() };
            effects.push(Effect::Note(notice));
        }
        self.adopt(found.into_text(), None, effects)
    }

    fn advance_edit(
        &mut self,
        now: Moment,
        answer: &TableAnswer,
        next_token: &mut impl FnMut() -> TableToken,
        effects: &mut EffectBuffer,
    ) {
        let Some(edit) = &mut self.edit else { return };
        match answer {
            TableAnswer::Row(row) | TableAnswer::Conflict(row) => {
                let version = row.as_ref().map_or(0, |row| row.version);
                match read_row(row.as_ref()) {
                    Err(notice) => self.leave_unreadable(notice, effects),
                    Ok(found) if matches!(answer, TableAnswer::Conflict(_)) => {
                        edit.write_open = false;
                        self.finish_against(version, found, effects);
                    }
                    Ok(found) => self.continue_edit(version, found, next_token(), effects),
                }
            }
            TableAnswer::Written(version) => {
                self.known_version = Some(*version);
                let text = edit.written_text();
                self.accept(text, effects);
            }
            TableAnswer::Unavailable if !edit.write_open => {
                self.finish(ConfigurationEvent::Collided, ApplyOutcome::NotWritten, effects);
            }
            TableAnswer::Unavailable | TableAnswer::Unchanged => {
                edit.retry_at = Some(now + SETTLE_PAUSE);
            }
            TableAnswer::Lost => {
                chart::configuration().advance(&mut self.state, ConfigurationEvent::Lost);
                if !self.switches.edit_settled {
                    let outcome = ApplyOutcome::NotWritten;
                    self.finish(ConfigurationEvent::Collided, outcome, effects);
                    return;
                }
                edit.retry_at = Some(now + SETTLE_PAUSE);
            }
        }
    }

    /// Ends an edit that met a row which this process cannot read, such as one that a newer build
    /// wrote. Taken for an absent row it would be written over, by a revision that may be lower.
    fn leave_unreadable(&mut self, notice: Notice, effects: &mut EffectBuffer) {
        effects.push(Effect::Note(notice));
        let tried = self.edit.as_ref().is_some_and(|edit| edit.write_open);
        let outcome = if tried { ApplyOutcome::Uncertain } else { ApplyOutcome::NotWritten };
        self.finish(ConfigurationEvent::Collided, outcome, effects);
    }

    /// Goes on with an edit after its row was read: writes it, or finds how it ended.
    fn continue_edit(
        &mut self,
        version: u64,
        found: ConfigurationRow,
        token: TableToken,
        effects: &mut EffectBuffer,
    ) {
        let in_force = self.revision();
        let Some(edit) = &mut self.edit else { return };
        let first_read = edit.target.is_none();
        let ours = found.names(edit.operation);
        let standing = found.revision.max(in_force);
        let base_moved = first_read && edit.base.is_some_and(|base| base != standing);
        let overtaken = edit.target.as_ref().is_some_and(|(known, _)| *known != version);
        if ours || base_moved || overtaken {
            self.finish_against(version, found, effects);
            return;
        }
        if first_read {
            edit.floor = in_force;
            edit.target = Some((version, found));
        }
        edit.token = token;
        edit.write_open = true;
        let value = edit.row_value();
        let key = CONFIGURATION_KEY.to_owned();
        let command = TableCommand::Write { key, expected: version, value };
        effects.push(Effect::Table { token, command });
    }

    /// Ends an edit by what the row that stands says.
    fn finish_against(
        &mut self,
        version: u64,
        found: ConfigurationRow,
        effects: &mut EffectBuffer,
    ) {
        let Some(edit) = &self.edit else { return };
        if found.names(edit.operation) {
            let own = edit.written_text();
            let latest = found.operation == edit.operation;
            self.known_version = Some(version);
            self.accept(own, effects);
            if !latest {
                self.adopt(found.into_text(), None, effects);
            }
            return;
        }
        let outcome = if edit.is_ruled_out_by(&found) {
            ApplyOutcome::Collided { revision: found.revision, text: found.text.clone() }
        } else {
            ApplyOutcome::Uncertain
        };
        self.finish(ConfigurationEvent::Collided, outcome, effects);
        self.adopt(found.into_text(), None, effects);
    }

    fn accept(&mut self, text: ConfigurationText, effects: &mut EffectBuffer) {
        let revision = text.revision;
        self.adopt(text, None, effects);
        self.finish(ConfigurationEvent::Written, ApplyOutcome::Accepted(revision), effects);
    }

    fn finish(
        &mut self,
        event: ConfigurationEvent,
        outcome: ApplyOutcome,
        effects: &mut EffectBuffer,
    ) {
        let Some(edit) = self.edit.take() else { return };
        chart::configuration().advance(&mut self.state, event);
        effects.push(Effect::ApplyDone { operation: edit.operation, outcome });
    }

    /// Does what has fallen due: reads the row at a rate that all `vm_count` VMs together keep
    /// bounded, and tries an uncertain edit again.
    pub fn advance(
        &mut self,
        now: Moment,
        vm_count: usize,
        next_token: &mut impl FnMut() -> TableToken,
        effects: &mut EffectBuffer,
    ) {
        if self.read.is_some_and(|(_, at)| now.since(at) > READ_TIMEOUT) {
            self.read = None;
        }
        if self.read.is_none() && now >= self.read_at {
            let token = next_token();
            self.read = Some((token, now));
            self.read_at = now + read_interval(vm_count);
            let command =
                TableCommand::Read { key: CONFIGURATION_KEY.to_owned(), known: self.known_version };
            effects.push(Effect::Table { token, command });
        }
        let Some(edit) = &self.edit else { return };
        if now.since(edit.started) > SETTLE_LIMIT {
            let outcome =
                if edit.write_open { ApplyOutcome::Uncertain } else { ApplyOutcome::NotWritten };
            self.finish(ConfigurationEvent::Collided, outcome, effects);
            return;
        }
        if edit.retry_at.is_some_and(|at| now >= at) {
            let token = next_token();
            self.read_for_edit(token, effects);
        }
    }
}

/// What became of an answer of the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableHandling {
    /// The answer was for this keeper.
    pub taken: bool,
    /// A higher revision came into force by it.
    pub adopted: bool,
}

impl ConfigurationRow {
    fn absent() -> Self {
        Self {
            revision: Revision(0),
            operation: OperationId(0),
            recent: Vec::new(),
            text: String::new(),
        }
    }

    fn names(&self, operation: OperationId) -> bool {
        self.operation == operation || self.recent.contains(&operation)
    }

    fn into_text(self) -> ConfigurationText {
        ConfigurationText {
            revision: self.revision,
            operation: self.operation,
            recent: self.recent,
            text: self.text,
        }
    }
}

impl PendingEdit {
    /// The row to write: one revision above the row that was read, and above the one in force: the
    /// platform may have restored an older row, and a revision that no VM takes would be lost.
    fn written_row(&self) -> ConfigurationRow {
        let absent = ConfigurationRow::absent();
        let before = self.target.as_ref().map_or(&absent, |(_, row)| row);
        let mut recent = vec![before.operation];
        recent.extend(before.recent.iter().copied());
        recent.retain(|operation| operation.0 != 0);
        recent.truncate(RECENT_LIMIT);
        ConfigurationRow {
            revision: Revision(before.revision.max(self.floor).0 + 1),
            operation: self.operation,
            recent,
            text: self.text.clone(),
        }
    }

    /// Returns whether a row that does not name this edit proves that it did not take effect. While
    /// a write of it may have, only a row that descends from the one read does: the platform may
    /// have restored an older row over the edit's.
    fn is_ruled_out_by(&self, found: &ConfigurationRow) -> bool {
        let Some((_, read)) = self.target.as_ref().filter(|_| self.write_open) else { return true };
        found.operation != read.operation && found.names(read.operation)
    }

    fn written_text(&self) -> ConfigurationText {
        self.written_row().into_text()
    }

    fn row_value(&self) -> String {
        json_form::encode(&self.written_row())
    }
}

fn read_interval(vm_count: usize) -> Duration {
    let spread = Duration::from_millis(vm_count as u64 * 1_000 / TABLE_READS_PER_SECOND);
    spread.max(READ_LEAST)
}

/// Reads a row; one that is not there counts as revision 0. Returns what operators are told of a row
/// that cannot be read.
fn read_row(row: Option<&TableRow>) -> Result<ConfigurationRow, Notice> {
    let Some(row) = row else { return Ok(ConfigurationRow::absent()) };
    serde_json::from_str(&row.value)
        .map_err(|error| Notice::RowUnreadable { version: row.version, fault: error.to_string() })
}
