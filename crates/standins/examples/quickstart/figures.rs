//! Measurements of a workload.

use std::collections::BTreeMap;
use std::time::Duration;

use standins::Engine;
use standins::EngineRecord;

/// Outcomes and times to first token of the requests of a workload.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Number of streams that ended with the correct text.
    pub complete: usize,
    first_tokens: Vec<Duration>,
    outcomes: BTreeMap<String, usize>,
}

impl Figures {
    /// Adds a stream that reached its end, with its time to first token and whether its text was
    /// correct.
    pub fn add_stream(&mut self, first_token: Duration, is_correct: bool) {
        self.first_tokens.push(first_token);
        self.complete += usize::from(is_correct);
        let outcome = match is_correct {
            true => "whole",
            false => "wrong",
        };
        self.add_outcome(outcome);
    }

    /// Counts a request with this outcome.
    pub fn add_outcome(&mut self, outcome: &str) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
    }

    /// Adds the measurements of other requests.
    pub fn add(&mut self, other: Figures) {
        self.complete += other.complete;
        self.first_tokens.extend(other.first_tokens);
        for (outcome, count) in other.outcomes {
            *self.outcomes.entry(outcome).or_default() += count;
        }
    }

    /// Returns the number of requests, whatever their outcome.
    pub fn requests(&self) -> usize {
        self.outcomes.values().sum()
    }

    /// Returns a percentile of the time to first token in milliseconds, or 0 without any stream.
    pub fn first_token_percentile_ms(&self, percent: usize) -> f64 {
        let mut times = self.first_tokens.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        let time = times.get(rank - 1).copied().unwrap_or_default();
        time.as_secs_f64() * 1e3
    }

    /// Returns the outcomes with their counts as text.
    pub fn format_outcomes(&self) -> String {
        let outcomes = self.outcomes.iter();
        let outcomes: Vec<String> = outcomes
            .map(|(outcome, count)| format!("{outcome}={count}"))
            .collect();
        outcomes.join(" ")
    }
}

/// Returns the fraction of prompt tokens that engines found in their caches.
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
