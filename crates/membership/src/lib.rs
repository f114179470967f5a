//! membership
