//! catalogue
