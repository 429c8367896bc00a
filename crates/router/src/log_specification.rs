//! Which log records are written.

use flexi_logger::FlexiLoggerError;
use flexi_logger::LevelFilter;
use flexi_logger::LogSpecification;

/// Libraries whose log records are not key=value events.
const LIBRARIES: [&str; 3] = ["ractor", "tarpc", "tracing"];

/// Parses a log specification. Libraries whose records are not key=value events are turned off
/// unless the specification mentions them.
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
