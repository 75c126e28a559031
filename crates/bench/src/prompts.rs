//! Deterministic prompts with shared prefixes.

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

/// Vocabulary of the prompts.
const WORDS: [&str; 12] = [
    "crew", "truck", "pump", "drain", "dues", "roster", "receipt", "ledger", "visit", "notice",
    "street", "branch",
];

/// Generates prompts that consist of a shared prefix and a unique suffix.
#[derive(Clone, Debug)]
pub(crate) struct Prompts {
    heads: Vec<String>,
    tail_bytes: usize,
    random: Pcg64Mcg,
    prompt_count: u64,
}

impl Prompts {
    /// Creates a generator with `heads` shared prefixes of at least `head_bytes` and
    /// suffixes of at least `tail_bytes`.
    pub(crate) fn new(seed: u64, heads: usize, head_bytes: usize, tail_bytes: usize) -> Self {
        let mut random = Pcg64Mcg::new(u128::from(seed) | 1);
        let heads = (0..heads.max(1)).map(|_| random_words(&mut random, head_bytes));
        let heads = heads.collect();
        Self {
            heads,
            tail_bytes,
            random,
            prompt_count: 0,
        }
    }

    /// Returns the next prompt. All prompts differ, because each contains its number.
    pub(crate) fn next_prompt(&mut self) -> String {
        self.prompt_count += 1;
        let head = self.random.random_range(0..self.heads.len());
        let tail = random_words(&mut self.random, self.tail_bytes);
        format!("{} {} {tail}", self.heads[head], self.prompt_count)
    }
}

fn random_words(random: &mut Pcg64Mcg, bytes: usize) -> String {
    let mut text = String::with_capacity(bytes + 8);
    while text.len() < bytes {
        text.push_str(WORDS[random.random_range(0..WORDS.len())]);
        text.push(' ');
    }
    text
}
