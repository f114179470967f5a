//! Detection of requests and prompt parts that crash the targets running them.
//!
//! A crash interrupts every request at the target, most of them sound, and tells nothing of its cause. So it is evidence
//! against several suspects: each interrupted request as a whole, which its client may send again, and the prompt parts
//! that it shares with others. Evidence against a suspect is discarded only for an answer to a request with that very
//! suspect; what is found out about one suspect never removes evidence against another.

pub mod answers;
pub mod proofs;
pub mod refusal;
pub mod series;
pub mod suspect;
pub mod table;
