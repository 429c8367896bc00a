//! What happened, line by line, and whether it was right.

/// Prints what happened and remembers whether everything holds.
#[derive(Debug, Default)]
pub struct Report {
    failures: u32,
}

impl Report {
    /// Prints what happened.
    pub fn say(&self, line: &str) {
        println!("{line}");
    }

    /// Prints whether something that must hold does.
    pub fn check(&mut self, what: &str, holds: bool, seen: &str) {
        let verdict = match holds {
            true => "ok",
            false => "FAILED",
        };
        println!("  {verdict}: {what} ({seen})");
        self.failures += u32::from(!holds);
    }

    /// Tells whether everything holds so far.
    pub fn all_hold(&self) -> bool {
        self.failures == 0
    }
}
