//! Measures the overhead of a router, as ratios within one run.
//!
//! The time to first token through a router is compared with that of a direct connection to the
//! engine, and the CPU time per streamed token with that of a bare hyper relay.

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

/// Number of worker threads of each of the two runtimes, of the router and of the relay.
const THREADS: usize = 2;

/// Name of the threads of the router's runtime.
const ROUTER_THREAD: &str = "bench-router";

/// Name of the threads of the relay's runtime.
const RELAY_THREAD: &str = "bench-relay";

/// Measures the overhead of a router between engine and caller.
#[derive(FromArgs)]
struct Args {
    /// number of concurrent streams
    #[argh(option, default = "200")]
    streams: usize,
    /// number of tokens of each stream
    #[argh(option, default = "50")]
    tokens: u32,
    /// number of streams that each concurrent worker reads, one after another
    #[argh(option, default = "3")]
    rounds: u32,
    /// time between two tokens of a stream, in milliseconds
    #[argh(option, default = "20")]
    decode_ms: u64,
    /// number of times that all targets are measured
    #[argh(option, default = "3")]
    turns: u32,
}

/// Measurements of all targets, summed over the turns.
#[derive(Default)]
struct Report {
    /// Streams directly from the engine.
    direct: Measurements,
    /// Streams through the bare relay.
    relayed: Measurements,
    /// Streams through the router.
    routed: Measurements,
    /// CPU time of the relay's threads during its streams.
    relay_cpu_time: Duration,
    /// CPU time of the router's threads during its streams.
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

/// Starts a runtime whose threads have this name, so that their CPU time can be read.
fn start_runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(THREADS)
        .thread_name(name)
        .enable_all()
        .build()
}

/// Runs the load once per target as a warm-up, then `turns` times per target, measured.
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

/// Prints the measurements and their ratios.
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
