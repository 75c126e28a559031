//! Command line tool for operators.

use eyre::Result;
use parsleylatch_ctl::ConfigurationForm;
use parsleylatch_relay::RelayCodec;

fn form(codec: &RelayCodec) -> ConfigurationForm {
    ConfigurationForm {
        marker: codec.documents.configuration_marker,
        read: codec.documents.read_configuration,
        path: codec.documents.configuration_path,
    }
}

fn main() -> Result<()> {
    let args: parsleylatch_ctl::Args = argh::from_env();
    let forms = [RelayCodec::own(), parsleylatch_platform::codec()].map(|it| form(&it));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(parsleylatch_ctl::run(args, &forms))
}
