//! The services text in force on this entry VM, and a pending edit by an operator.
//!
//! An edit is accepted by a compare-and-swap of the configuration row in the table service, which
//! also stores the edit's operation id. When the answer to that write is lost, the same write is
//! sent again with the same expected version: only one of the two can take effect, and the
//! operation id in the row shows whether it belongs to this edit. VMs receive revisions from the
//! table and from peers; a lower revision never replaces a higher one.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{
    catalog::ServiceCatalog,
    chart::{self, ConfigurationEvent, ConfigurationState},
    effect::{ApplyOutcome, Effect, EffectBuffer, OperatorNotice},
    event::{TableAnswer, TableCommand, TableRow},
    ids::{OperationId, TableToken, VmName},
    json_form,
    message::ConfigurationText,
    safeguard::SafeguardSwitches,
    units::{Moment, Revision},
};

/// The key of the row that holds the services text.
pub const CONFIGURATION_KEY: &str = "configuration";
/// The maximum number of earlier edits that a row lists.
const RECENT_LIMIT: usize = 16;
/// The delay before a lost or failed exchange is retried: an edit whose outcome is uncertain, or a
/// request for a peer's text.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// The maximum time that an operator waits for an edit's outcome.
const EDIT_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum rate at which all VMs together read the configuration row.
const TABLE_READS_PER_SECOND: u64 = 100;
/// The shortest interval between two reads of the row by one VM.
const MIN_READ_INTERVAL: Duration = Duration::from_secs(1);
/// The time after which an unanswered read is given up.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// The content of the configuration row.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct ConfigurationRow {
    revision: Revision,
    operation: OperationId,
    #[serde(default)]
    recent: Vec<OperationId>,
    text: String,
}

/// A pending edit by an operator.
#[derive(Debug)]
struct PendingEdit {
    operation: OperationId,
    base: Option<Revision>,
    text: String,
    started: Moment,
    /// The row as first read, with its version, which every write of this edit expects.
    base_row: Option<(u64, ConfigurationRow)>,
    /// The revision in force when the row was first read.
    floor: Revision,
    token: TableToken,
    /// Whether a write was sent and its result is unknown.
    write_unconfirmed: bool,
    retry_at: Option<Moment>,
}

/// The configuration of one entry VM.
#[derive(Debug)]
pub struct ConfigurationManager {
    switches: SafeguardSwitches,
    state: ConfigurationState,
    text: Option<ConfigurationText>,
    catalog: ServiceCatalog,
    /// The version of the row that was read or written last.
    known_version: Option<u64>,
    /// The periodic read that awaits its answer, with the time at which it was sent.
    pending_read: Option<(TableToken, Moment)>,
    /// The time of the next periodic read.
    next_read_at: Moment,
    /// The earliest time of the next request for a peer's text.
    next_pull_at: Moment,
    edit: Option<PendingEdit>,
}

impl ConfigurationManager {
    /// Creates a manager with no configuration in force.
    pub fn new(switches: SafeguardSwitches) -> Self {
        Self {
            switches,
            state: chart::configuration().initial(),
            text: None,
            catalog: ServiceCatalog::default(),
            known_version: None,
            pending_read: None,
            next_read_at: Moment::default(),
            next_pull_at: Moment::default(),
            edit: None,
        }
    }

    /// Returns the catalog in force, or an empty catalog while no text is in force.
    pub fn catalog(&self) -> &ServiceCatalog {
        &self.catalog
    }

    /// Returns the text in force.
    pub fn in_force(&self) -> Option<&ConfigurationText> {
        self.text.as_ref()
    }

    /// Returns the revision in force, or 0 while no text is in force.
    pub fn revision(&self) -> Revision {
        self.text.as_ref().map_or(Revision(0), |text| text.revision)
    }

    /// Returns the state in the configuration chart.
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
        let is_newer = text.revision > self.revision();
        if text.revision == self.revision() || (!is_newer && self.switches.revision_rises) {
            return false;
        }
        match ServiceCatalog::parse(&text.text) {
            Ok(catalog) => self.catalog = catalog,
            Err(faults) => {
                let (revision, fault) = (text.revision, faults.to_string());
                effects.push(Effect::Note(OperatorNotice::RevisionUnreadable { revision, fault }));
                return false;
            }
        }
        let revision = text.revision;
        self.text = Some(text);
        chart::configuration().advance(&mut self.state, ConfigurationEvent::Adopt);
        effects.push(Effect::Note(OperatorNotice::RevisionInForce { revision, from_peer }));
        true
    }

    /// Returns whether to request the text of a peer that has `revision` in force. After a request
    /// this is `false` for a short time, in which the answer can arrive.
    pub fn should_pull(&mut self, now: Moment, revision: Revision) -> bool {
        let should_pull = revision > self.revision() && now >= self.next_pull_at;
        if should_pull {
            self.next_pull_at = now + RETRY_DELAY;
        }
        should_pull
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
            base_row: None,
            floor: self.revision(),
            token,
            write_unconfirmed: false,
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

    /// Handles an answer of the table service. Returns whether `token` belongs to a command of this
    /// manager, and whether the answer changed the revision in force.
    pub fn handle_table_answer(
        &mut self,
        now: Moment,
        token: TableToken,
        answer: &TableAnswer,
        next_token: &mut impl FnMut() -> TableToken,
        effects: &mut EffectBuffer,
    ) -> TableAnswerHandling {
        if self.pending_read.is_some_and(|(own, _)| own == token) {
            self.pending_read = None;
            return TableAnswerHandling {
                consumed: true,
                adopted: self.adopt_row(answer, effects),
            };
        }
        if self.edit.as_ref().is_some_and(|edit| edit.token == token) {
            let before = self.revision();
            self.advance_edit(now, answer, next_token, effects);
            return TableAnswerHandling { consumed: true, adopted: self.revision() != before };
        }
        TableAnswerHandling { consumed: false, adopted: false }
    }

    /// Puts the text of a row that was read in force if its revision is higher; returns whether it
    /// did.
    fn adopt_row(&mut self, answer: &TableAnswer, effects: &mut EffectBuffer) -> bool {
        let TableAnswer::Row(Some(row)) = answer else {
            return false;
        };
        self.known_version = Some(row.version);
        let found = match decode_row(Some(row)) {
            Ok(found) => found,
            Err(notice) => {
                effects.push(Effect::Note(notice));
                return false;
            }
        };
        if found.revision < self.revision() {
            // The platform restored an older copy of the table. An accepted revision must not
            // revert.
            let notice = OperatorNotice::RevisionWentBack {
                found: found.revision,
                in_force: self.revision(),
            };
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
                match decode_row(row.as_ref()) {
                    Err(notice) => self.finish_unreadable(notice, effects),
                    Ok(found) if matches!(answer, TableAnswer::Conflict(_)) => {
                        edit.write_unconfirmed = false;
                        self.finish_from_row(version, found, effects);
                    }
                    Ok(found) => self.continue_edit(version, found, next_token(), effects),
                }
            }
            TableAnswer::Written(version) => {
                self.known_version = Some(*version);
                let text = edit.written_text();
                self.accept(text, effects);
            }
            TableAnswer::Unavailable if !edit.write_unconfirmed => {
                self.finish(ConfigurationEvent::Collided, ApplyOutcome::NotWritten, effects);
            }
            TableAnswer::Unavailable | TableAnswer::Unchanged => {
                edit.retry_at = Some(now + RETRY_DELAY);
            }
            TableAnswer::Lost => {
                chart::configuration().advance(&mut self.state, ConfigurationEvent::Lost);
                if !self.switches.edit_settled {
                    let outcome = ApplyOutcome::NotWritten;
                    self.finish(ConfigurationEvent::Collided, outcome, effects);
                    return;
                }
                edit.retry_at = Some(now + RETRY_DELAY);
            }
        }
    }

    /// Ends an edit because this process cannot read the row, which a newer build may have written.
    /// Treating it as absent would overwrite it, possibly with a lower revision.
    fn finish_unreadable(&mut self, notice: OperatorNotice, effects: &mut EffectBuffer) {
        effects.push(Effect::Note(notice));
        let may_be_written = self.edit.as_ref().is_some_and(|edit| edit.write_unconfirmed);
        let outcome =
            if may_be_written { ApplyOutcome::Uncertain } else { ApplyOutcome::NotWritten };
        self.finish(ConfigurationEvent::Collided, outcome, effects);
    }

    /// Continues an edit after the row was read: writes the edit, or ends it if the row shows that
    /// it was written or cannot be written any more.
    fn continue_edit(
        &mut self,
        version: u64,
        found: ConfigurationRow,
        token: TableToken,
        effects: &mut EffectBuffer,
    ) {
        let in_force = self.revision();
        let Some(edit) = &mut self.edit else { return };
        let first_read = edit.base_row.is_none();
        let is_written = found.lists(edit.operation);
        let latest = found.revision.max(in_force);
        let base_changed = first_read && edit.base.is_some_and(|base| base != latest);
        let row_changed = edit.base_row.as_ref().is_some_and(|(known, _)| *known != version);
        if is_written || base_changed || row_changed {
            self.finish_from_row(version, found, effects);
            return;
        }
        if first_read {
            edit.floor = in_force;
            edit.base_row = Some((version, found));
        }
        edit.token = token;
        edit.write_unconfirmed = true;
        let value = edit.row_value();
        let key = CONFIGURATION_KEY.to_owned();
        let command = TableCommand::Write { key, expected: version, value };
        effects.push(Effect::Table { token, command });
    }

    /// Ends an edit with the outcome that follows from the current row.
    fn finish_from_row(
        &mut self,
        version: u64,
        found: ConfigurationRow,
        effects: &mut EffectBuffer,
    ) {
        let Some(edit) = &self.edit else { return };
        if found.lists(edit.operation) {
            let own = edit.written_text();
            let is_latest = found.operation == edit.operation;
            self.known_version = Some(version);
            self.accept(own, effects);
            if !is_latest {
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

    /// Performs the actions that are due: reads the row at an interval that bounds the total rate
    /// of all `vm_count` VMs, and retries an edit whose outcome is uncertain.
    pub fn advance(
        &mut self,
        now: Moment,
        vm_count: usize,
        next_token: &mut impl FnMut() -> TableToken,
        effects: &mut EffectBuffer,
    ) {
        if self.pending_read.is_some_and(|(_, at)| now.since(at) > READ_TIMEOUT) {
            self.pending_read = None;
        }
        if self.pending_read.is_none() && now >= self.next_read_at {
            let token = next_token();
            self.pending_read = Some((token, now));
            self.next_read_at = now + read_interval(vm_count);
            let command =
                TableCommand::Read { key: CONFIGURATION_KEY.to_owned(), known: self.known_version };
            effects.push(Effect::Table { token, command });
        }
        let Some(edit) = &self.edit else { return };
        if now.since(edit.started) > EDIT_TIMEOUT {
            let outcome = if edit.write_unconfirmed {
                ApplyOutcome::Uncertain
            } else {
                ApplyOutcome::NotWritten
            };
            self.finish(ConfigurationEvent::Collided, outcome, effects);
            return;
        }
        if edit.retry_at.is_some_and(|at| now >= at) {
            let token = next_token();
            self.read_for_edit(token, effects);
        }
    }
}

/// The result of handling an answer of the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TableAnswerHandling {
    /// Whether the answer belongs to a command of this manager.
    pub consumed: bool,
    /// Whether the answer changed the revision in force.
    pub adopted: bool,
}

impl ConfigurationRow {
    /// Returns the row that stands for one that does not exist yet.
    fn absent() -> Self {
        Self {
            revision: Revision(0),
            operation: OperationId(0),
            recent: Vec::new(),
            text: String::new(),
        }
    }

    /// Returns whether the row contains the edit `operation`, as the latest or an earlier one.
    fn lists(&self, operation: OperationId) -> bool {
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
    /// Returns the row to write. Its revision is above both the row that was read and the revision
    /// in force: after the platform has restored an older row, VMs would ignore a revision that is
    /// only above that row, and the edit would be lost.
    fn written_row(&self) -> ConfigurationRow {
        let absent = ConfigurationRow::absent();
        let before = self.base_row.as_ref().map_or(&absent, |(_, row)| row);
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

    /// Returns whether a row that does not list this edit proves that the edit did not take effect.
    /// While a write is unconfirmed, only a row that succeeds the one read proves it, since the
    /// platform may have restored an older row over the edit's.
    fn is_ruled_out_by(&self, found: &ConfigurationRow) -> bool {
        let Some((_, read)) = self.base_row.as_ref().filter(|_| self.write_unconfirmed) else {
            return true;
        };
        found.operation != read.operation && found.lists(read.operation)
    }

    fn written_text(&self) -> ConfigurationText {
        self.written_row().into_text()
    }

    fn row_value(&self) -> String {
        json_form::encode(&self.written_row())
    }
}

/// Returns the interval between the reads of one VM, with which `vm_count` VMs together stay below
/// [`TABLE_READS_PER_SECOND`].
fn read_interval(vm_count: usize) -> Duration {
    let interval = Duration::from_millis(vm_count as u64 * 1_000 / TABLE_READS_PER_SECOND);
    interval.max(MIN_READ_INTERVAL)
}

/// Decodes a row; a missing row counts as revision 0. Returns a notice for operators if the row
/// cannot be decoded.
fn decode_row(row: Option<&TableRow>) -> Result<ConfigurationRow, OperatorNotice> {
    let Some(row) = row else { return Ok(ConfigurationRow::absent()) };
    serde_json::from_str(&row.value).map_err(|error| OperatorNotice::RowUnreadable {
        version: row.version,
        fault: error.to_string(),
    })
}
