//! Tests of at-most-once calls against a model of the store: all interleavings of
//! two claimants with few faults, and histories of longer random runs.

mod explore;
mod histories;
mod world;
