//! Figures of a workload.

use std::collections::BTreeMap;
use std::time::Duration;

use standins::Engine;
use standins::EngineRecord;

/// Figures of a workload.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Streams that came whole and with the right text.
    pub complete: usize,
    first_tokens: Vec<Duration>,
    outcomes: BTreeMap<String, usize>,
}

impl Figures {
    /// Adds a stream that ended with its last token.
    pub fn add_stream(&mut self, first_token: Duration, is_correct: bool) {
        self.first_tokens.push(first_token);
        self.complete += usize::from(is_correct);
        let outcome = match is_correct {
            true => "whole",
            false => "wrong",
        };
        self.add_outcome(outcome);
    }

    /// Adds an outcome.
    pub fn add_outcome(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Adds the figures of another part.
    pub fn add(&mut self, other: Figures) {
        self.complete += other.complete;
        self.first_tokens.extend(other.first_tokens);
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.outcomes.values().sum()
    }

    /// Returns the time to first token that `percent` of the streams stayed within.
    pub fn first_token_percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.first_tokens.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        let time = times.get(rank - 1).copied().unwrap_or_default();
        time.as_secs_f64() * 1e3
    }

    /// Returns the outcomes with their counts.
    pub fn format_outcomes(&self) -> String {
        let outcomes = self.outcomes.iter();
        let outcomes: Vec<String> = outcomes
            .map(|(outcome, count)| format!("{outcome}={count}"))
            .collect();
        outcomes.join(" ")
    }
}

/// Returns the share of prompt tokens that engines found in their caches.
pub fn hit_rate(engines: &[Engine]) -> f64 {
    let mut prompt = 0;
    let mut cached = 0;
    for record in engines.iter().flat_map(Engine::ledger) {
        if let EngineRecord::Ran {
            prompt_tokens,
            cached_tokens,
            ..
        } = record
        {
            prompt += prompt_tokens;
            cached += cached_tokens;
        }
    }
    cached as f64 / prompt.max(1) as f64
}
