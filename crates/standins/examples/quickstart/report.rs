//! Output of the quickstart and the results of its checks.

/// Prints steps and checks, and counts the checks that failed.
#[derive(Debug, Default)]
pub struct Report {
    failures: u32,
}

impl Report {
    /// Prints a line that describes a step.
    pub fn print(&self, line: &str) {
        println!("{line}");
    }

    /// Prints the result of a check with the value observed.
    pub fn check(&mut self, what: &str, passed: bool, observed: &str) {
        let result = match passed {
            true => "ok",
            false => "FAILED",
        };
        println!("  {result}: {what} ({observed})");
        self.failures += u32::from(!passed);
    }

    /// Returns whether no check has failed up to now.
    pub fn all_passed(&self) -> bool {
        self.failures == 0
    }
}
