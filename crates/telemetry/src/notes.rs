//! Notes of decisions, kept for `explain`.

mod book;
mod subject;

pub use self::{
    book::{NoteBook, NoteBookSettings},
    subject::{NoteEntry, SubjectNotes},
};
