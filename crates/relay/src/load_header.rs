//! Header in which an endpoint reports its load, as `RUNNING,WAITING[,SLOTS[,PACE]]`.

use http::HeaderValue;
use parsleylatch_decide::relay::{LoadSample, is_plausible_pace};
use parsleylatch_types::{PacePercent, SlotCount};

/// Characters of an unreadable header that its error message quotes.
const QUOTED_CHARACTERS: usize = 40;

/// Reads the load of an endpoint. Slots and pace may be absent.
///
/// # Errors
///
/// Returns why the value can't be used: it has too few or too many fields, one of them is not
/// a number in range, or the pace is absurd.
pub fn read_load(value: &HeaderValue) -> Result<LoadSample, String> {
    let text = value
        .to_str()
        .map_err(|_| "the load is not text".to_owned())?;
    let quoted = || text.chars().take(QUOTED_CHARACTERS).collect::<String>();
    let mut fields = text.split(',').map(str::trim);
    let mut number = |name: &str| match fields.next() {
        None => Ok(None),
        Some(field) => field
            .parse::<u32>()
            .map(Some)
            .map_err(|error| format!("{name} in {:?}: {error}", quoted())),
    };
    let too_short = || format!("{:?} has too few fields", quoted());
    let load = LoadSample {
        running: number("running requests")?.ok_or_else(too_short)?,
        waiting: number("waiting requests")?.ok_or_else(too_short)?,
        slots: number("slots")?.map(SlotCount::new),
        pace: number("pace")?.map(PacePercent::new),
    };
    if fields.next().is_some() {
        return Err(format!("{:?} has too many fields", quoted()));
    }
    match load.pace {
        Some(pace) if !is_plausible_pace(pace) => Err(format!("a pace of {pace} is absurd")),
        _ => Ok(load),
    }
}
