//! Cost of state machine steps on the traffic path, with the production decision code.

use std::{hint::black_box, time::Instant};

use parsleylatch_decide::{
    generation::{
        AttemptInput, Generation, GenerationInput, GenerationLimits, GenerationRequest,
        RecoveredState, Token,
    },
    placement::Placement,
};
use parsleylatch_types::{
    AttemptNumber, EndpointVersion, Micros, Millis, MonoTime, Priority, RequestId, TokenCount,
    TokenId, TokenIndex,
};

use crate::{report::Report, timing::nanos_per_call};

/// Tokens per generation.
const TOKENS: u32 = 4_000;
/// Number of rounds, of which only the fastest counts.
const ROUNDS: usize = 15;
/// Chart steps per accepted token: one of the attempt and one of the generation for
/// the token, and one of the generation for the journal acknowledgement.
const STEPS_PER_TOKEN: f64 = 3.0;
const FIRST_ATTEMPT: AttemptNumber = AttemptNumber::new(1);

/// Measures a single chart step, and the handling of a token by both charts.
pub(crate) fn measure_steps(report: &mut Report) {
    let mut generation = streaming_generation();
    let now = MonoTime::ZERO + Millis::new(1);
    let step = nanos_per_call(|| generation.handle(now, token_input(TokenIndex::ZERO)));
    let input_alone = nanos_per_call(|| token_input(TokenIndex::ZERO));
    let case = "one step with two guards";
    report.add("chart_step", case, (step - input_alone).max(0.0), "ns");
    let token = nanos_per_token();
    report.add("token_decisions", "three steps and effects", token, "ns");
    report.add(
        "token_decisions_step",
        "a third",
        token / STEPS_PER_TOKEN,
        "ns",
    );
}

/// Creates a generation whose first token has arrived.
fn streaming_generation() -> Generation {
    let now = MonoTime::ZERO;
    let limits = GenerationLimits::default();
    let (mut generation, _) = Generation::start(now, request(), limits, RecoveredState::default());
    generation.handle(now, GenerationInput::Placed(placement()));
    let opened = AttemptInput::Opened {
        endpoint_version: version(),
    };
    generation.handle(now, attempt_input(opened));
    generation.handle(now, token_input(TokenIndex::ZERO));
    generation
}

/// Returns the time to handle and release a token in attempt and generation.
fn nanos_per_token() -> f64 {
    let round = || {
        let mut generation = streaming_generation();
        let inputs: Vec<GenerationInput> = (1..TOKENS)
            .map(|index| token_input(TokenIndex::new(index)))
            .collect();
        let mut now = MonoTime::ZERO;
        let started_at = Instant::now();
        for (position, input) in inputs.into_iter().enumerate() {
            now = now + Micros::new(27);
            black_box(generation.handle(now, input));
            let end = TokenIndex::after(position + 2);
            black_box(generation.handle(now, GenerationInput::JournalHeld { end }));
        }
        started_at.elapsed()
    };
    let fastest = (0..ROUNDS).map(|_| round()).min().unwrap_or_default();
    fastest.as_secs_f64() * 1e9 / f64::from(TOKENS - 1)
}

fn attempt_input(input: AttemptInput) -> GenerationInput {
    GenerationInput::Attempt {
        attempt: FIRST_ATTEMPT,
        input,
    }
}

fn token_input(index: TokenIndex) -> GenerationInput {
    let token = Token {
        id: TokenId::new(index.get()),
        text: " word".into(),
    };
    attempt_input(AttemptInput::Token { index, token })
}

fn version() -> EndpointVersion {
    "v1".parse().expect("a valid id")
}

fn request() -> GenerationRequest {
    GenerationRequest {
        request_id: RequestId::generate(),
        workspace: "bench".parse().expect("a valid id"),
        model: "drafts".parse().expect("a valid id"),
        adapter: None,
        prompt: "prompt".into(),
        max_tokens: TokenCount::new(TOKENS),
        seed: None,
        priority: Priority::new(10),
        endpoint_versions: vec![version()],
    }
}

fn placement() -> Placement {
    Placement {
        endpoint: "engine-1".parse().expect("a valid id"),
        address: ([127, 0, 0, 1], 1).into(),
        endpoint_version: version(),
        first_token_timeout_ms: Millis::new(1_500),
        token_timeout_ms: Millis::new(200),
    }
}
