//! The interpreter: compiles a chart to dense tables and steps its instances.

use std::{marker::PhantomData, ops::Range};

use parsleylatch_types::{Millis, MonoTime};
use strum::{VariantArray, VariantNames};

use crate::{
    bindings::{Action, Bindings, DurationFn, Guard},
    check::{self, DefinedNames},
    error::ChartError,
    file::{ChartFile, StateDefinition, TransitionDefinition},
};

/// Instance of a chart: its current state and the deadline of that state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Instance<State> {
    state: State,
    deadline: Option<MonoTime>,
}

impl<State> Instance<State>
where
    State: Copy,
{
    /// Returns the current state.
    pub fn state(&self) -> State {
        self.state
    }

    /// Returns the time at which the current state times out, if it has a timeout.
    pub fn next_deadline(&self) -> Option<MonoTime> {
        self.deadline
    }
}

enum Timeout<Context> {
    Constant(Millis),
    Computed(DurationFn<Context>),
}

struct StateTimeout<Context> {
    timeout: Timeout<Context>,
    event_index: usize,
}

struct StateRow<Context> {
    entry: Box<[Action<Context>]>,
    exit: Box<[Action<Context>]>,
    after: Option<StateTimeout<Context>>,
    is_final: bool,
}

struct Transition<State, Context> {
    guard: Option<(Guard<Context>, bool)>,
    target: Option<State>,
    actions: Box<[Action<Context>]>,
}

/// A validated and compiled chart, shared by all its instances.
pub struct Machine<State, Event, Context> {
    initial: State,
    rows: Vec<StateRow<Context>>,
    transition_ranges: Vec<Range<usize>>,
    transitions: Vec<Transition<State, Context>>,
    events: PhantomData<fn(Event)>,
}

impl<State, Event, Context> Machine<State, Event, Context>
where
    State: Copy + Into<usize> + VariantArray + VariantNames,
    Event: Copy + Into<usize> + VariantArray + VariantNames,
{
    /// Parses, validates and compiles a chart file.
    ///
    /// # Errors
    /// The first error found, see [`crate::ChartErrorKind`].
    pub fn compile(
        name: &str,
        text: &str,
        bindings: &Bindings<Context>,
    ) -> Result<Self, ChartError> {
        let file = ChartFile::parse(name, text)?;
        let names = DefinedNames {
            states: <State as VariantNames>::VARIANTS,
            events: <Event as VariantNames>::VARIANTS,
            guards: bindings.guards.keys().copied().collect(),
            actions: bindings.actions.keys().copied().collect(),
            durations: bindings.durations.keys().copied().collect(),
        };
        let chart = file.chart.clone();
        check::check(&file, &names).map_err(|kind| ChartError { chart, kind })?;
        Ok(Compiler {
            file: &file,
            bindings,
        }
        .compile())
    }

    /// Creates an instance and runs the entry actions of the initial state.
    pub fn start(&self, now: MonoTime, context: &mut Context) -> Instance<State> {
        let mut instance = Instance {
            state: self.initial,
            deadline: None,
        };
        self.enter(&mut instance, self.initial, now, context);
        instance
    }

    /// Delivers an event to an instance. Returns whether a state was entered, which
    /// includes re-entering the current one.
    pub fn step(
        &self,
        instance: &mut Instance<State>,
        now: MonoTime,
        event: Event,
        context: &mut Context,
    ) -> bool {
        self.step_index(instance, now, event.into(), context)
    }

    /// Delivers the timeout event to an instance if its deadline has passed.
    ///
    /// Returns whether the deadline had passed.
    pub fn expire(
        &self,
        instance: &mut Instance<State>,
        now: MonoTime,
        context: &mut Context,
    ) -> bool {
        let due = instance.deadline.is_some_and(|deadline| deadline <= now);
        if due {
            instance.deadline = None;
            let row = &self.rows[instance.state.into()];
            if let Some(after) = &row.after {
                self.step_index(instance, now, after.event_index, context);
            }
        }
        due
    }

    /// Whether an instance is in a final state.
    pub fn is_final(&self, instance: &Instance<State>) -> bool {
        self.rows[instance.state.into()].is_final
    }

    fn step_index(
        &self,
        instance: &mut Instance<State>,
        now: MonoTime,
        event_index: usize,
        context: &mut Context,
    ) -> bool {
        let state_index: usize = instance.state.into();
        let range = &self.transition_ranges
            [state_index * <Event as VariantNames>::VARIANTS.len() + event_index];
        let taken = self.transitions[range.clone()].iter().find(|transition| {
            transition
                .guard
                .is_none_or(|(guard, expected)| guard(context) == expected)
        });
        let Some(transition) = taken else {
            return false;
        };
        match transition.target {
            None => {
                run_actions(&transition.actions, context);
                false
            }
            Some(target) => {
                run_actions(&self.rows[state_index].exit, context);
                run_actions(&transition.actions, context);
                self.enter(instance, target, now, context);
                true
            }
        }
    }

    fn enter(
        &self,
        instance: &mut Instance<State>,
        target: State,
        now: MonoTime,
        context: &mut Context,
    ) {
        let row = &self.rows[target.into()];
        instance.state = target;
        run_actions(&row.entry, context);
        instance.deadline = row.after.as_ref().map(|after| match after.timeout {
            Timeout::Constant(duration) => now + duration,
            Timeout::Computed(duration_fn) => now + duration_fn(context),
        });
    }
}

fn run_actions<Context>(actions: &[Action<Context>], context: &mut Context) {
    for action in actions {
        action(context);
    }
}

/// Compiles a validated chart file, in which every name resolves.
struct Compiler<'a, Context> {
    file: &'a ChartFile,
    bindings: &'a Bindings<Context>,
}

impl<Context> Compiler<'_, Context> {
    fn compile<State, Event>(&self) -> Machine<State, Event, Context>
    where
        State: Copy + VariantArray + VariantNames,
        Event: Copy + VariantArray + VariantNames,
    {
        let state_names = <State as VariantNames>::VARIANTS;
        let event_names = <Event as VariantNames>::VARIANTS;
        let states: Vec<&StateDefinition> = state_names
            .iter()
            .map(|name| &self.file.states[*name])
            .collect();
        let rows = states
            .iter()
            .map(|state| self.row(state, event_names))
            .collect();
        let mut transitions = Vec::new();
        let mut transition_ranges = Vec::with_capacity(state_names.len() * event_names.len());
        for state in &states {
            for event in event_names {
                let start = transitions.len();
                let definitions = state.on.get(*event).map_or(&[][..], Vec::as_slice);
                transitions.extend(
                    definitions
                        .iter()
                        .map(|definition| self.transition::<State>(definition)),
                );
                transition_ranges.push(start..transitions.len());
            }
        }
        let initial = <State as VariantArray>::VARIANTS[index_of(state_names, &self.file.initial)];
        Machine {
            initial,
            rows,
            transition_ranges,
            transitions,
            events: PhantomData,
        }
    }

    fn row(&self, state: &StateDefinition, event_names: &[&str]) -> StateRow<Context> {
        let after = state.after.as_ref().map(|after| StateTimeout {
            timeout: self.timeout(&after.timeout),
            event_index: index_of(event_names, &after.event),
        });
        StateRow {
            entry: self.actions(&state.entry),
            exit: self.actions(&state.exit),
            after,
            is_final: state.is_final,
        }
    }

    /// A computed duration takes precedence over a constant of the same name.
    fn timeout(&self, name: &str) -> Timeout<Context> {
        match self.bindings.durations.get(name) {
            Some(duration_fn) => Timeout::Computed(*duration_fn),
            None => Timeout::Constant(Millis::new(self.file.timeouts_ms[name])),
        }
    }

    fn actions(&self, names: &[String]) -> Box<[Action<Context>]> {
        names
            .iter()
            .map(|name| self.bindings.actions[name.as_str()])
            .collect()
    }

    fn transition<State>(&self, transition: &TransitionDefinition) -> Transition<State, Context>
    where
        State: Copy + VariantArray + VariantNames,
    {
        let guard = transition.guard.as_deref().map(|text| {
            let name = check::guard_name(text);
            (self.bindings.guards[name], name == text)
        });
        let target = transition.to.as_deref().map(|name| {
            <State as VariantArray>::VARIANTS[index_of(<State as VariantNames>::VARIANTS, name)]
        });
        Transition {
            guard,
            target,
            actions: self.actions(&transition.actions),
        }
    }
}

fn index_of(names: &[&str], name: &str) -> usize {
    names
        .iter()
        .position(|candidate| *candidate == name)
        .expect("names were checked to resolve")
}
