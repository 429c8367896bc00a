//! The program `turmerichollowctl`.

use std::env;
use std::process;

use argh::FromArgs;
use ctl::global_options_first;
use ctl::Arguments;
use ctl::ExitCode;

/// Name of the program in the help text.
const PROGRAM: &str = "turmerichollowctl";

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let args = global_options_first(env::args().skip(1).collect());
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Arguments::from_args(&[PROGRAM], &args) {
        Ok(arguments) => arguments.run().await.into(),
        Err(exit) if exit.status.is_ok() => {
            println!("{}", exit.output);
            ExitCode::Ok.into()
        }
        Err(exit) => {
            eprintln!("{}", exit.output);
            ExitCode::Usage.into()
        }
    }
}
