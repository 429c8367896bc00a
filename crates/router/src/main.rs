//! The router process.

mod forward_command;
mod process_start;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use argh::FromArgs;
use backend::HttpEngine;
use backend::HttpPlainService;
use flexi_logger::DeferredNow;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use flexi_logger::Record;
use platform::HttpKeyValue;
use platform::HttpMembershipList;
use router::log_specification;
use router::ExternalServices;
use router::Router;
use router::Settings;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;

use crate::forward_command::ForwardCommand;
use crate::process_start::start;

/// Router for language-model traffic whose prompts share long prefixes.
#[derive(FromArgs)]
struct Arguments {
    /// file of settings, in JSON
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,

    /// print the version and exit
    #[argh(switch)]
    version: bool,

    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Forward(ForwardCommand),
}

fn main() -> ExitCode {
    let args: Arguments = argh::from_env();
    if args.version {
        println!("turmerichollow {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    if let Some(Command::Forward(command)) = args.command {
        return command.run();
    }
    start(
        args.settings,
        args.check,
        "a file",
        Settings::read,
        |settings, _| run(settings),
    )
}

fn run(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let _logger = start_log(&settings)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let outside = ExternalServices {
        key_value: Arc::new(HttpKeyValue::new(settings.key_value)),
        membership: Arc::new(HttpMembershipList::new(settings.membership)),
        engine: Arc::new(HttpEngine::new()),
        service: Arc::new(HttpPlainService::new()),
    };
    let limits = settings.limits;
    let router = Router::start(settings, outside).await?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = router.failed() => return Err("a decision failed; see the log".into()),
    }
    router.shutdown(limits.shutdown_deadline()).await;
    Ok(())
}

fn start_log(settings: &Settings) -> Result<LoggerHandle, Box<dyn std::error::Error>> {
    let logger = Logger::with(log_specification(&settings.log)?)
        .format(line)
        .log_to_stderr();
    Ok(logger.start()?)
}

/// Writes one line of key=value pairs.
fn line(
    w: &mut dyn std::io::Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = now.format("%Y-%m-%dT%H:%M:%S%.6f%:z");
    let level = record.level();
    write!(w, "time={time} level={level} {}", record.args())
}
