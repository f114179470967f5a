//! Targets: what is known of them, which one a request goes to, what their failures mean.

pub mod choice;
pub mod crashes;
pub mod entry;
pub mod failure;
pub mod health;
pub mod homes;
pub mod pace;
pub mod patience;
pub mod places;
pub mod prompt;
pub mod record;
pub mod search;
pub mod table;
pub mod warm_prompts;
