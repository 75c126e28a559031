//! Checks of embedded data at process start.

use parsleylatch_chart::ChartError;

use crate::{
    call, configuration, endpoint_health, generation, journal, lease_holder, limits,
    listener_places, membership, moves, node_life, relay, store_session,
};

/// Compiles all charts. Processes call this before anything else.
///
/// # Errors
/// The error of the first invalid chart.
pub fn charts() -> Result<(), ChartError> {
    call::verify_charts()?;
    configuration::verify_chart()?;
    endpoint_health::verify_charts()?;
    generation::verify_charts()?;
    journal::verify_charts()?;
    limits::verify_chart()?;
    lease_holder::verify_chart()?;
    listener_places::verify_chart()?;
    membership::verify_chart()?;
    moves::verify_chart()?;
    node_life::verify_chart()?;
    relay::verify_charts()?;
    store_session::verify_chart()
}
