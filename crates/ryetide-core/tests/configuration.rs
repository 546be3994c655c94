//! Operators' edits when the configuration row cannot be decoded by this build.

use ryetide_core::{
    configuration::ConfigurationManager,
    effect::{ApplyOutcome, Effect, EffectBuffer, OperatorNotice},
    event::{TableAnswer, TableCommand, TableRow},
    ids::{OperationId, TableToken},
    safeguard::SafeguardSwitches,
    units::Moment,
};

const TEXT: &str = include_str!("fault_matrix/services.yaml");
const NOW: Moment = Moment::from_millis(1);

/// Returns a row in a format that this build cannot decode.
fn unreadable_row() -> TableRow {
    TableRow { version: 9, value: "{\"revision\":\"r40\",\"format\":2}".to_owned() }
}

struct Editor {
    manager: ConfigurationManager,
    last_token: u64,
}

impl Editor {
    fn new() -> Self {
        Self { manager: ConfigurationManager::new(SafeguardSwitches::default()), last_token: 1 }
    }

    /// Begins an edit, whose first read has the token 1.
    fn begin(&mut self) -> Vec<Effect> {
        let mut effects = EffectBuffer::new(64);
        let (operation, token) = (OperationId(7), TableToken(1));
        self.manager.apply(NOW, operation, None, TEXT.to_owned(), token, &mut effects);
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
        let handling =
            self.manager.handle_table_answer(NOW, token, answer, &mut next, &mut effects);
        assert!(handling.consumed);
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

fn reports_unreadable_row(effects: &[Effect]) -> bool {
    let is_notice = |effect: &Effect| {
        matches!(effect, Effect::Note(OperatorNotice::RowUnreadable { version: 9, .. }))
    };
    effects.iter().any(is_notice)
}

/// Guards against the silent loss of an accepted configuration: a newer build has written the row
/// in a format that this build cannot decode, and an operator's edit through this VM overwrites it.
#[test]
fn an_edit_is_not_written_over_a_row_that_cannot_be_read() {
    let mut editor = Editor::new();
    editor.begin();
    let effects = editor.answer(&TableAnswer::Row(Some(unreadable_row())));
    assert!(!writes(&effects), "{effects:?}");
    assert!(reports_unreadable_row(&effects), "{effects:?}");
    assert_eq!(outcome(&effects), Some(&ApplyOutcome::NotWritten));
}

/// Guards against a wrong outcome of an edit whose write conflicts with a row that this build
/// cannot decode. The edit may have taken effect before the row was replaced, so the outcome is
/// uncertain and not a collision with revision 0.
#[test]
fn an_edit_that_meets_an_unreadable_row_after_its_write_is_uncertain() {
    let mut editor = Editor::new();
    editor.begin();
    assert!(writes(&editor.answer(&TableAnswer::Row(None))));
    let effects = editor.answer(&TableAnswer::Conflict(Some(unreadable_row())));
    assert!(reports_unreadable_row(&effects), "{effects:?}");
    assert_eq!(outcome(&effects), Some(&ApplyOutcome::Uncertain));
}
