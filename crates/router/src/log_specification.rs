//! What of the log is written.

use flexi_logger::FlexiLoggerError;
use flexi_logger::LevelFilter;
use flexi_logger::LogSpecification;

/// Libraries whose lines are not key=value events.
const LIBRARIES: [&str; 3] = ["ractor", "tarpc", "tracing"];

/// Reads a specification; libraries that it doesn't name write nothing.
pub fn log_specification(specification: &str) -> Result<LogSpecification, FlexiLoggerError> {
    let given = LogSpecification::parse(specification)?;
    let mut builder = LogSpecification::builder();
    for library in LIBRARIES {
        if !mentions(&given, library) {
            builder.module(library, LevelFilter::Off);
        }
    }
    builder.insert_modules_from(given);
    Ok(builder.finalize())
}

fn mentions(specification: &LogSpecification, library: &str) -> bool {
    let mut filters = specification.module_filters().iter();
    filters.any(|filter| {
        let module = filter.module_name.as_deref();
        module.is_some_and(|module| module.split("::").next() == Some(library))
    })
}
