//! `turmerichollow forward`: a router for requests that it does not read.

use std::env;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

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
use tokio::task::LocalSet;

use crate::process_start::start;

/// Variable that names the file of settings where no option does.
const SETTINGS_VARIABLE: &str = "TURMERICHOLLOW_SETTINGS";

/// Forward requests to the backend servers of the platform.
#[derive(FromArgs)]
#[argh(subcommand, name = "forward")]
pub struct ForwardCommand {
    /// file of settings, in JSON; without it, the variable TURMERICHOLLOW_SETTINGS names it
    #[argh(option)]
    settings: Option<PathBuf>,

    /// check the settings and exit
    #[argh(switch)]
    check: bool,
}

impl ForwardCommand {
    /// Runs until the process is told to stop.
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
    let outside = ExternalServices {
        codec: Rc::new(HeaderCodec),
        store: Rc::new(StoreClient::new(settings.store)),
        engines: Rc::new(EngineClient),
        log,
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let tasks = LocalSet::new();
    let result = tasks.block_on(&runtime, async {
        let gateway = Gateway::start(settings, outside).await?;
        gateway.run(path).await
    });
    logger.flush();
    Ok(result?)
}

fn start_log(log: &LogSink) -> Result<LoggerHandle, Box<dyn std::error::Error>> {
    let specification = LogSpecification::builder()
        .default(LevelFilter::Info)
        .build();
    let logger = Logger::with(specification).log_to_writer(Box::new(log.clone()));
    Ok(logger.start()?)
}
