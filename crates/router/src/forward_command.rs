//! `turmerichollow forward`: a router that forwards requests without parsing their bodies.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use adapter::EngineClient;
use adapter::HeaderCodec;
use adapter::StoreClient;
use argh::FromArgs;
use flexi_logger::LevelFilter;
use flexi_logger::LogSpecification;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use gateway::ExternalServices;
use gateway::Gateway;
use gateway::LogSink;
use gateway::Settings;
use gateway::TcpConnector;
use tokio::task::LocalSet;

use crate::process_start::start;

/// Environment variable with the path of the settings file, used without `--settings`.
const SETTINGS_VARIABLE: &str = "TURMERICHOLLOW_SETTINGS";

/// Time for which the process waits at its end until its log was read.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);

/// Forward requests to the backend servers of the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "forward")]
pub struct ForwardCommand {
    /// settings file, in JSON; default: the path in the variable TURMERICHOLLOW_SETTINGS
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl ForwardCommand {
    /// Runs until the process receives a signal to stop.
    pub fn run(self) -> ExitCode {
        let path = self
            .settings
            .or_else(|| env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
        let missing = format!("a file, or its name in {SETTINGS_VARIABLE}");
        start(path, self.check, &missing, Settings::read, forward)
    }
}

fn forward(settings: Settings, path: PathBuf) -> Result<(), Box<dyn std::error::Error>> {
    let log = LogSink::start(settings.name.clone(), settings.log_buffer_bytes)?;
    let logger = start_log(&log)?;
    let external_services = ExternalServices {
        codec: Rc::new(HeaderCodec),
        store: Rc::new(StoreClient::new(settings.store)),
        engines: Rc::new(EngineClient),
        connector: Rc::new(TcpConnector),
        log: log.clone(),
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        let gateway = Gateway::start(settings, external_services).await?;
        gateway.run(path).await
    });
    // Both would flush the log again, or take time that a stop doesn't have.
    std::mem::forget((logger, tasks));
    log.flush_within(FLUSH_TIMEOUT);
    Ok(result?)
}

fn start_log(log: &LogSink) -> Result<LoggerHandle, Box<dyn std::error::Error>> {
    let specification = LogSpecification::builder()
        .default(LevelFilter::Info)
        .build();
    let logger = Logger::with(specification).log_to_writer(Box::new(log.clone()));
    Ok(logger.start()?)
}
