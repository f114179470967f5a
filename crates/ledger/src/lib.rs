//! ledger
