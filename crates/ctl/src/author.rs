//! Who makes a change, and when.

use std::env;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use config::Maker;
use snafu::OptionExt;
use uuid::Uuid;

use crate::error::ArgumentSnafu;
use crate::Result;

/// Environment variables that name the operator, the first that is set decides.
const AUTHOR_VARIABLES: [&str; 2] = ["USER", "LOGNAME"];

/// Returns the maker of a change that is made now.
pub(crate) fn maker(author: Option<String>) -> Result<Maker> {
    let author = author
        .or_else(|| AUTHOR_VARIABLES.iter().find_map(|name| env::var(name).ok()))
        .filter(|author| !author.is_empty())
        .context(ArgumentSnafu {
            argument: "--author",
            expected: "the name of the operator, for USER isn't set",
        })?;
    Ok(Maker {
        author,
        at_ms: now_ms(),
        nonce: Uuid::new_v4().to_string(),
    })
}

fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| {
        u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
    })
}
