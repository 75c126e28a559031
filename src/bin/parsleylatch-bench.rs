//! Load generator, history checker and benchmarks.

use eyre::Result;

fn main() -> Result<()> {
    let args: parsleylatch_bench::Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()?;
    runtime.block_on(parsleylatch_bench::run(args))
}
