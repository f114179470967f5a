//! standins
