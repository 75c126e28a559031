//! Measures the journal on a running fleet: `measure_journal FLEET.json cost|resume COUNT`.

use std::{env, path::Path};

use eyre::{Result, bail, eyre};
use parsleylatch_bench::{
    fleet::Fleet,
    journal::{self, Summary},
};

/// Response length for the cost measurement.
const COST_TOKENS: u32 = 200;

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<()> {
    let arguments: Vec<String> = env::args().skip(1).collect();
    let [file, measurement, count] = &arguments[..] else {
        bail!("usage: measure_journal FLEET.json cost|resume COUNT");
    };
    let fleet = Fleet::read(Path::new(file))?;
    let count = count.parse()?;
    match measurement.as_str() {
        "cost" => println!(
            "{:#?}",
            journal::measure_cost(&fleet, count, COST_TOKENS).await?
        ),
        "resume" => {
            let latencies = journal::resume_latencies(&fleet, count).await?;
            let summary = Summary::of(latencies).ok_or_else(|| eyre!("no samples"))?;
            println!("{summary:#?}");
        }
        other => bail!("unknown measurement `{other}`"),
    }
    Ok(())
}
