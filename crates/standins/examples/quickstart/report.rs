//! What happened, line by line, and whether it was right.

/// Prints what happened and remembers whether everything holds.
#[derive(Debug, Default)]
pub struct Report {
    failures: u32,
}

impl Report {
    /// Prints what happened.
    pub fn print(&self, line: &str) {
        println!("{line}");
    }

    /// Prints whether something that must hold does.
    pub fn check(&mut self, what: &str, passed: bool, observed: &str) {
        let result = match passed {
            true => "ok",
            false => "FAILED",
        };
        println!("  {result}: {what} ({observed})");
        self.failures += u32::from(!passed);
    }

    /// Tells whether everything holds so far.
    pub fn all_passed(&self) -> bool {
        self.failures == 0
    }
}
