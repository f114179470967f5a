//! Chunk objects of a job's input.
