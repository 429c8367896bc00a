//! The metadata of a change: author, time and unique id.

use std::env;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use config::ChangeMetadata;
use uuid::Uuid;

/// Environment variables with the operator's name; the first that isn't empty is used.
const AUTHOR_VARIABLES: [&str; 2] = ["USER", "LOGNAME"];

/// Author of a change if neither an option nor the environment gives a name.
const UNKNOWN_AUTHOR: &str = "unknown";

/// Returns metadata with the present time and a new nonce; `author` takes precedence over the
/// environment.
pub(crate) fn change_metadata(author: Option<String>) -> ChangeMetadata {
    let variables = AUTHOR_VARIABLES
        .iter()
        .filter_map(|name| env::var(name).ok());
    let mut names = author.into_iter().chain(variables);
    ChangeMetadata {
        author: names
            .find(|name| !name.is_empty())
            .unwrap_or_else(|| UNKNOWN_AUTHOR.into()),
        at_ms: now_ms(),
        nonce: Uuid::new_v4().to_string(),
    }
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
