//! Command line tool for operators.

use eyre::Result;

fn main() -> Result<()> {
    let args: parsleylatch_ctl::Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(parsleylatch_ctl::run(args))
}
