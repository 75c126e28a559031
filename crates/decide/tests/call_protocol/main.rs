//! Once-only calls against a model of the store: every interleaving of two
//! claimants at small size, and histories of longer random runs.

mod explore;
mod histories;
mod world;
