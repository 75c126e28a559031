//! Node daemon.

use eyre::Result;

fn main() -> Result<()> {
    parsleylatch_node::main(argh::from_env())
}
