//! Runs the model-engine stand-in as a separate process and prints its address.

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use platform::HttpMembershipList;
use standins::Engine;
use standins::EngineSettings;
use tokio::signal::ctrl_c;

/// Serves a model engine that simulates prefill and decode times without computing anything.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, 127.0.0.1:0 for any free port
    #[argh(option, default = "SocketAddr::from((Ipv4Addr::LOCALHOST, 0))")]
    listen: SocketAddr,
    /// address of the platform's membership list
    #[argh(option)]
    platform: SocketAddr,
    /// name of its VM
    #[argh(option)]
    name: String,
    /// region of its VM
    #[argh(option, default = "\"west\".to_owned()")]
    region: String,
    /// failure domain of its VM
    #[argh(option, default = "\"west-1\".to_owned()")]
    failure_domain: String,
    /// model and version of its weights, as NAME=VERSION; repeatable
    #[argh(option, from_str_fn(parse_model))]
    model: Vec<(String, u64)>,
    /// prompt tokens computed per millisecond
    #[argh(option, default = "100")]
    prefill_tokens_per_ms: u64,
    /// time between two tokens of a stream, in milliseconds
    #[argh(option, default = "20")]
    decode_ms: u64,
    /// capacity of the cache, in blocks of 2,000 tokens
    #[argh(option, default = "200")]
    cache_pieces: usize,
    /// text that crashes the engine when a prompt contains it
    #[argh(option)]
    crash_marker: Option<String>,
    /// accept orders with a lower fencing token than the highest one seen
    #[argh(switch)]
    ignores_fencing: bool,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let list = Arc::new(HttpMembershipList::new(args.platform));
    let engine = Engine::start(args.listen, settings(args)).await?;
    let _announcer = engine.announce(list);
    println!("{}", engine.address());
    ctrl_c().await
}

/// Returns the engine's settings; without a model argument it serves the default models.
fn settings(args: Args) -> EngineSettings {
    let defaults = EngineSettings::default();
    let models = match args.model.is_empty() {
        true => defaults.models,
        false => BTreeMap::from_iter(args.model),
    };
    EngineSettings {
        name: args.name,
        region: args.region,
        failure_domain: args.failure_domain,
        models,
        prefill_tokens_per_ms: args.prefill_tokens_per_ms,
        decode_ms: args.decode_ms,
        cache_blocks: args.cache_pieces,
        checks_fencing: !args.ignores_fencing,
        crash_marker: args.crash_marker,
        ..defaults
    }
}

/// Parses NAME=VERSION.
fn parse_model(arg: &str) -> Result<(String, u64), String> {
    let (name, version) = arg.split_once('=').ok_or("expected NAME=VERSION")?;
    let version = version.parse().map_err(|_| "expected a number after =")?;
    Ok((name.to_owned(), version))
}
