//! Stand-ins for the services of the platform.

use eyre::Result;

fn main() -> Result<()> {
    let args: parsleylatch_standin::Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(parsleylatch_standin::run(args))
}
