//! Version moves: merge laws, the table, and moves of scripted versions.

mod canary;
mod fleet;
mod laws;
mod simulation;
mod table;
