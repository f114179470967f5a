//! link
