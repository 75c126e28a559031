//! The `chart` subcommand: diagrams of the embedded state charts.

use eyre::{Result, eyre};
use parsleylatch_chart::{ChartFile, to_mermaid};
use parsleylatch_decide::charts::ALL;

/// Prints a chart as a Mermaid diagram, or the names of all charts if `name` is `None`.
pub(crate) fn print(name: Option<&str>) -> Result<()> {
    let Some(name) = name else {
        ALL.iter().for_each(|source| println!("{}", source.name));
        return Ok(());
    };
    let names = || {
        ALL.iter()
            .map(|source| source.name)
            .collect::<Vec<_>>()
            .join(", ")
    };
    let source = ALL.iter().find(|source| source.name == name);
    let source =
        source.ok_or_else(|| eyre!("unknown chart `{name}`; available charts: {}", names()))?;
    print!(
        "{}",
        to_mermaid(&ChartFile::parse(source.name, source.text)?)
    );
    Ok(())
}
