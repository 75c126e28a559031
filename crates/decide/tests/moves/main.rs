//! Version moves: laws of merging, the move table, and simulated moves.

mod canary;
mod fleet;
mod laws;
mod simulation;
mod table;
