//! Cost of a router on the way, as ratios within one run.
//!
//! Time to first token: through a router against a direct connection to the
//! engine. Processor time for each streamed token: a router against a bare
//! hyper relay.

mod bare_relay;
mod load;
mod thread_time;

use std::io;
use std::time::Duration;

use argh::FromArgs;
use backend::HttpEngine;
use standins::Fleet;
use standins::FleetSettings;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use crate::bare_relay::BareRelay;
use crate::load::Load;
use crate::load::Measurements;
use crate::load::Target;

/// Threads of the router's and of the relay's runtime.
const THREADS: usize = 2;

/// Name of the router's threads.
const ROUTER_THREAD: &str = "bench-router";

/// Name of the relay's threads.
const RELAY_THREAD: &str = "bench-relay";

/// Measures the cost of a router on the way from engine to caller.
#[derive(FromArgs)]
struct Args {
    /// streams at once
    #[argh(option, default = "200")]
    streams: usize,
    /// tokens of each stream
    #[argh(option, default = "50")]
    tokens: u32,
    /// streams that follow each other in each of the places
    #[argh(option, default = "3")]
    rounds: u32,
    /// time between two tokens of a stream, in milliseconds
    #[argh(option, default = "20")]
    decode_ms: u64,
    /// times that all targets are measured in turn
    #[argh(option, default = "3")]
    turns: u32,
}

/// Measurements of all targets, added up over the turns.
#[derive(Default)]
struct Report {
    direct: Measurements,
    relayed: Measurements,
    routed: Measurements,
    relay_cpu_time: Duration,
    router_cpu_time: Duration,
}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let main_runtime = Builder::new_multi_thread().enable_all().build()?;
    let router_runtime = start_runtime(ROUTER_THREAD)?;
    let relay_runtime = start_runtime(RELAY_THREAD)?;
    let report = main_runtime.block_on(measure(&args, &router_runtime, &relay_runtime))?;
    print(&args, &report);
    router_runtime.shutdown_background();
    relay_runtime.shutdown_background();
    Ok(())
}

fn start_runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

async fn measure(
    args: &Args,
    router_runtime: &Runtime,
    relay_runtime: &Runtime,
) -> io::Result<Report> {
    let settings = FleetSettings::new(1, 0).each_engine(|engine| {
        engine.decode_ms = args.decode_ms;
        engine.prefill_tokens_per_ms = 100;
    });
    let mut fleet = Fleet::start(settings).await?;
    let router_start = router_runtime.spawn(async move {
        fleet.start_router().await?;
        Ok::<Fleet, io::Error>(fleet)
    });
    let fleet = router_start.await.map_err(io::Error::other)??;
    let engine = fleet.engines[0].address();
    let relay_start = relay_runtime.spawn(BareRelay::start(engine));
    let relay = relay_start.await.map_err(io::Error::other)??;
    let load = Load {
        streams: args.streams,
        tokens: args.tokens,
        rounds: args.rounds,
        ramp: Duration::from_millis(args.decode_ms * u64::from(args.tokens)),
    };
    let direct = Target::Engine(HttpEngine::new(), engine);
    let relayed = Target::Engine(HttpEngine::new(), relay.address());
    let routed = Target::Router(fleet.caller(0));
    for target in [&direct, &relayed, &routed] {
        load.run(target).await?;
    }
    let mut report = Report::default();
    for _ in 0..args.turns {
        report.direct.merge(load.run(&direct).await?);
        let before = thread_time::cpu_time_of_threads(RELAY_THREAD)?;
        report.relayed.merge(load.run(&relayed).await?);
        report.relay_cpu_time += thread_time::cpu_time_of_threads(RELAY_THREAD)? - before;
        let before = thread_time::cpu_time_of_threads(ROUTER_THREAD)?;
        report.routed.merge(load.run(&routed).await?);
        report.router_cpu_time += thread_time::cpu_time_of_threads(ROUTER_THREAD)? - before;
    }
    Ok(report)
}

fn print(args: &Args, report: &Report) {
    println!(
        "{} streams at once, {} tokens each, {} ms between tokens, {} streams measured each way",
        args.streams,
        args.tokens,
        args.decode_ms,
        report.direct.streams()
    );
    for percent in [50, 99] {
        let direct = report.direct.first_token_percentile(percent);
        let relayed = report.relayed.first_token_percentile(percent);
        let routed = report.routed.first_token_percentile(percent);
        println!(
            "first token p{percent}: direct {:.2} ms, bare relay {:.2} ms, router {:.2} ms, router/direct {:.3}",
            millis(direct),
            millis(relayed),
            millis(routed),
            millis(routed) / millis(direct),
        );
    }
    let relay = micros_per_token(report.relay_cpu_time, &report.relayed);
    let router = micros_per_token(report.router_cpu_time, &report.routed);
    println!(
        "processor time per token: bare relay {relay:.2} us, router {router:.2} us, router/relay {:.2}",
        router / relay
    );
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn micros_per_token(time: Duration, measured: &Measurements) -> f64 {
    time.as_secs_f64() * 1e6 / measured.tokens() as f64
}
