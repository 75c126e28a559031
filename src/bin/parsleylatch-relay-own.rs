//! Relay daemon with the project's own wire protocol, which the stand-ins implement.

use eyre::Result;
use parsleylatch_relay::RelayCodec;

fn main() -> Result<()> {
    parsleylatch_relay::main(argh::from_env(), None, RelayCodec::own())
}
