//! Edits of the configuration against rows that this process cannot read.

use ryetide_core::{
    configuration::ConfigurationKeeper,
    effect::{ApplyOutcome, Effect, EffectBuffer, Notice},
    event::{TableAnswer, TableCommand, TableRow},
    ids::{OperationId, TableToken},
    safeguard::SafeguardSwitches,
    units::Moment,
};

const TEXT: &str = include_str!("fault_matrix/services.yaml");
const NOW: Moment = Moment::from_millis(1);

fn unreadable() -> TableRow {
    TableRow { version: 9, value: "{\"revision\":\"r40\",\"format\":2}".to_owned() }
}

struct Editor {
    keeper: ConfigurationKeeper,
    last_token: u64,
}

impl Editor {
    fn new() -> Self {
        Self { keeper: ConfigurationKeeper::new(SafeguardSwitches::default()), last_token: 1 }
    }

    /// Begins an edit, whose read has the token 1.
    fn begin(&mut self) -> Vec<Effect> {
        let mut effects = EffectBuffer::new(64);
        let (operation, token) = (OperationId(7), TableToken(1));
        self.keeper.apply(NOW, operation, None, TEXT.to_owned(), token, &mut effects);
        effects.drain().collect()
    }

    fn answer(&mut self, answer: &TableAnswer) -> Vec<Effect> {
        let mut effects = EffectBuffer::new(64);
        let token = TableToken(self.last_token);
        let last_token = &mut self.last_token;
        let mut next = || {
            *last_token += 1;
            TableToken(*last_token)
        };
        let handling = self.keeper.handle_table(NOW, token, answer, &mut next, &mut effects);
        assert!(handling.taken);
        effects.drain().collect()
    }
}

fn outcome(effects: &[Effect]) -> Option<&ApplyOutcome> {
    effects.iter().find_map(|effect| match effect {
        Effect::ApplyDone { outcome, .. } => Some(outcome),
        _ => None,
    })
}

fn writes(effects: &[Effect]) -> bool {
    let is_write = |effect: &Effect| {
        matches!(effect, Effect::Table { command: TableCommand::Write { .. }, .. })
    };
    effects.iter().any(is_write)
}

fn notes_row(effects: &[Effect]) -> bool {
    let is_note =
        |effect: &Effect| matches!(effect, Effect::Note(Notice::RowUnreadable { version: 9, .. }));
    effects.iter().any(is_note)
}

/// A newer build has written the row in a form that this one cannot read. An operator's edit through
/// this VM is not written over it: the accepted configuration would be gone without a word.
#[test]
fn an_edit_is_not_written_over_a_row_that_cannot_be_read() {
    let mut editor = Editor::new();
    editor.begin();
    let effects = editor.answer(&TableAnswer::Row(Some(unreadable())));
    assert!(!writes(&effects), "{effects:?}");
    assert!(notes_row(&effects), "{effects:?}");
    assert_eq!(outcome(&effects), Some(&ApplyOutcome::NotWritten));
}

/// The row cannot be read any more when an edit's write is answered. The operator is not told that
/// the edit collided with revision 0: it cannot be said whether it took effect before.
#[test]
fn an_edit_that_meets_an_unreadable_row_after_its_write_is_uncertain() {
    let mut editor = Editor::new();
    editor.begin();
    assert!(writes(&editor.answer(&TableAnswer::Row(None))));
    let effects = editor.answer(&TableAnswer::Conflict(Some(unreadable())));
    assert!(notes_row(&effects), "{effects:?}");
    assert_eq!(outcome(&effects), Some(&ApplyOutcome::Uncertain));
}
