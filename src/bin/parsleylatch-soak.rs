//! Soak test of relays under randomized faults.

use eyre::Result;

fn main() -> Result<()> {
    parsleylatch_soak::main(argh::from_env())
}
