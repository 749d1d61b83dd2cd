//! Where clients come in, one module for each wire.

pub mod resp;
