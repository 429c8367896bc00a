//! Short texts of events for the trace.

use policy::Event;
use policy::PeerMessage;
use policy::StoreResult;

/// Returns the text of an event for the trace, without large contents.
pub(crate) fn summarize(event: &Event) -> String {
    match event {
        Event::Call(req) => format!("call {:?} deadline {:?}", req.call, req.deadline),
        Event::Members(members) => format!("{} members", members.len()),
        Event::Config { version, .. } => format!("config {version}"),
        Event::Load(load) => format!("load {} {:?}", load.server, load.incarnation),
        Event::Peer { from, message } => format!("{from} {}", summarize_message(message)),
        Event::Store { op, result } => format!("store {op:?} {}", summarize_result(result)),
        other => format!("{other:?}"),
    }
}

fn summarize_message(message: &PeerMessage) -> String {
    match message {
        PeerMessage::Config { version, .. } => format!("config {version}"),
        PeerMessage::ConfigDelta(delta) => format!("delta {} {}", delta.base, delta.version),
        PeerMessage::Snapshot(_) => "snapshot".to_owned(),
        other => format!("{other:?}"),
    }
}

fn summarize_result(result: &StoreResult) -> String {
    match result {
        StoreResult::Value { version, value } => {
            format!("value {version} {}", String::from_utf8_lossy(value))
        }
        StoreResult::Conflict {
            held: Some((version, value)),
        } => {
            format!("conflict {version} {}", String::from_utf8_lossy(value))
        }
        other => format!("{other:?}"),
    }
}
