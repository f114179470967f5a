//! A settings file as text: lines with their sections, and the visitor that reads or writes them.

mod lines;
mod units;
mod visitor;
mod whole;

pub use self::{
    lines::SettingsFile,
    units::{parse_bytes, parse_duration, render_bytes, render_duration},
};
pub(crate) use self::{
    visitor::FieldVisitor,
    whole::{read_config, render_config},
};
