//! History of decision notes, which `explain` shows.

mod history;
mod subject;

pub use self::{
    history::{NoteHistory, NoteHistorySettings},
    subject::{NoteEntry, SubjectNotes},
};
