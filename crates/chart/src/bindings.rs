//! Guards, actions and durations that the code binds to the names in a chart.

use std::collections::BTreeMap;

use parsleylatch_types::Millis;

/// Condition under which a transition is taken.
pub(crate) type Guard<Context> = fn(&Context) -> bool;
/// Side effect of a transition, or of entering or leaving a state.
pub(crate) type Action<Context> = fn(&mut Context);
/// Computes the duration of a timeout from the context.
pub(crate) type DurationFn<Context> = fn(&Context) -> Millis;

/// Guards, actions and durations by name.
pub struct Bindings<Context> {
    pub(crate) guards: BTreeMap<&'static str, Guard<Context>>,
    pub(crate) actions: BTreeMap<&'static str, Action<Context>>,
    pub(crate) durations: BTreeMap<&'static str, DurationFn<Context>>,
}

impl<Context> Default for Bindings<Context> {
    fn default() -> Self {
        Self {
            guards: BTreeMap::new(),
            actions: BTreeMap::new(),
            durations: BTreeMap::new(),
        }
    }
}

impl<Context> Bindings<Context> {
    /// Creates empty bindings.
    pub fn new() -> Self {
        Self::default()
    }

    /// Binds a guard to a name.
    #[must_use]
    pub fn guard(mut self, name: &'static str, guard: Guard<Context>) -> Self {
        self.guards.insert(name, guard);
        self
    }

    /// Binds an action to a name.
    #[must_use]
    pub fn action(mut self, name: &'static str, action: Action<Context>) -> Self {
        self.actions.insert(name, action);
        self
    }

    /// Binds a computed duration to a name.
    #[must_use]
    pub fn duration(mut self, name: &'static str, duration: DurationFn<Context>) -> Self {
        self.durations.insert(name, duration);
        self
    }
}
