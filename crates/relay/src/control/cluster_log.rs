//! Log lines on the configuration and the registry.

use parsleylatch_decide::relay::{
    MemoryPlan, RelayConfiguration, RelayConfigurationParts, check_configuration,
};
use parsleylatch_types::{EndpointId, Revision};

use crate::codec::DocumentCodec;

/// Findings about a configuration that are logged.
const MAX_FINDINGS_LOGGED: usize = 20;

/// Ids of changed endpoints for a log line, truncated if there are many.
pub(super) struct ChangedIds<'a>(pub(super) [&'a [EndpointId]; 2]);

/// Maximum number of ids in a log line.
const LOGGED_IDS_LIMIT: usize = 12;

impl std::fmt::Display for ChangedIds<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [updated, removed] = self.0;
        let updated = updated.iter().map(|id| ('+', id));
        let signed = updated.chain(removed.iter().map(|id| ('-', id)));
        for (sign, id) in signed.take(LOGGED_IDS_LIMIT) {
            write!(formatter, "{sign}{id} ")?;
        }
        Ok(())
    }
}

/// Logs what a check finds in a configuration that was read.
pub(super) fn report_findings(
    codec: &DocumentCodec,
    revision: Revision,
    parts: &RelayConfigurationParts,
) {
    for finding in check_configuration(parts).iter().take(MAX_FINDINGS_LOGGED) {
        log::info!(
            revision = revision.get(),
            severity:% = finding.severity(),
            finding:% = finding.kind,
            place = (codec.configuration_path)(finding.place).as_str(),
            reason = finding.message.as_str();
            "configuration checked"
        );
    }
}

/// Logs a limit on heads that is beyond what a process may hold.
pub(super) fn report_lowered_head_limit(configuration: &RelayConfiguration) {
    let Some(configured) = configuration.limits().map(|it| it.head_bytes) else {
        return;
    };
    let lowered = MemoryPlan::head_limit(configured);
    if lowered < configured {
        log::warn!(
            revision = configuration.revision().get(),
            configured_bytes = configured.get(),
            bytes = lowered.get();
            "limit on heads lowered"
        );
    }
}
