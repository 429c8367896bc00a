//! Paths of calls to plain services.

use http::Uri;

use crate::Rejection;

const SERVICES_PREFIX: &str = "/services/";

/// Path of a call to a plain service, split into the service's name and the rest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePath {
    /// Name of the service.
    pub service: String,
    /// Path after the service's name, beginning with `/`.
    pub path: String,
    /// Path with the query string, as sent to the service.
    pub target: String,
}

impl ServicePath {
    /// Parses `/services/<name>/<path>`.
    ///
    /// A path that a service could normalize to a different one is rejected, because the path
    /// determines whether a call is idempotent.
    pub fn parse(uri: &Uri) -> Result<ServicePath, Rejection> {
        let rest = uri.path().strip_prefix(SERVICES_PREFIX).unwrap_or_default();
        let (service, path) = match rest.find('/') {
            Some(at) => rest.split_at(at),
            None => (rest, "/"),
        };
        if service.is_empty() || !path[1..].split('/').all(is_unambiguous) && path != "/" {
            return Err(Rejection::BadPath);
        }
        let target = match uri.query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        Ok(ServicePath {
            service: service.to_owned(),
            path: path.to_owned(),
            target,
        })
    }
}

fn is_unambiguous(segment: &str) -> bool {
    let lower = segment.to_ascii_lowercase();
    let separators = ["%2e", "%2f", "%5c", "\\", ";"];
    !matches!(segment, "" | "." | "..") && !separators.iter().any(|text| lower.contains(text))
}
