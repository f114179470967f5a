//! magnolianotch
