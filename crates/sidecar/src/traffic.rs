//! Traffic: calls of the target and their bytes, without the control thread.

mod link_board;
mod run_board;
mod run_buffer;
mod run_task;
mod timing_board;
mod warm_board;

pub(crate) use self::{
    link_board::LinkBoard,
    run_board::RunBoard,
    run_task::{RunContext, run_call},
    timing_board::TimingBoard,
    warm_board::WarmBoard,
};
