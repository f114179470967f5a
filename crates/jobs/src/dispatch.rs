//! Who gets which items next. Everything here is lost with the ownership and rebuilt from the
//! records by the next owner.

pub(crate) mod job_queue;
pub(crate) mod job_rank;
pub(crate) mod lot_table;
pub(crate) mod target_share;
