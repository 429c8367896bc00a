//! Results of a run.

use std::collections::BTreeMap;
use std::fmt;

use crate::soak::Settings;
use crate::soak::Violation;

/// Results of a run; its `Display` text is what the soak example prints.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Settings of the run.
    pub settings: Settings,
    /// Number of processed events.
    pub steps: u64,
    /// Elapsed virtual time, in milliseconds.
    pub virtual_ms: u64,
    /// Number of injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Number of callers' submissions by request kind and result.
    pub outcomes: BTreeMap<String, u64>,
    /// Other counts by name, e.g. of dropped tokens.
    pub counts: BTreeMap<&'static str, u64>,
    /// Hash over all lines of the trace, including those not kept.
    pub trace_hash: u64,
    /// Lines of the trace, or only the last ones.
    pub trace: Vec<String>,
    /// First violated guarantee.
    pub violation: Option<Violation>,
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Settings {
            seed,
            routers,
            runners,
            ..
        } = self.settings;
        writeln!(
            f,
            "seed={seed} routers={routers} runners={runners} steps={} virtual_ms={} trace={:016x}",
            self.steps, self.virtual_ms, self.trace_hash
        )?;
        write_counts(f, "faults", &self.faults)?;
        write_counts(f, "outcomes", &self.outcomes)?;
        write_counts(f, "counts", &self.counts)?;
        let Some(violation) = &self.violation else {
            return writeln!(f, "violations=0");
        };
        for line in &self.trace {
            writeln!(f, "  {line}")?;
        }
        writeln!(
            f,
            "violation={:?} {}",
            violation.guarantee, violation.details
        )
    }
}

fn write_counts<K>(f: &mut fmt::Formatter<'_>, name: &str, counts: &BTreeMap<K, u64>) -> fmt::Result
where
    K: fmt::Display,
{
    write!(f, "{name}:")?;
    for (kind, count) in counts {
        write!(f, " {kind}={count}")?;
    }
    writeln!(f)
}
