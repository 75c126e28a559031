//! Measures calls of services on a running fleet: `calls FLEET_FILE`.

use std::path::PathBuf;

use eyre::{Result, eyre};
use parsleylatch_bench::{calls, fleet::Fleet};

fn main() -> Result<()> {
    let path = std::env::args_os().nth(1).map(PathBuf::from);
    let path = path.ok_or_else(|| eyre!("name the fleet file"))?;
    let fleet = Fleet::read(&path)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(calls::measure_calls(&fleet))
}
