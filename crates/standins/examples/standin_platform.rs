//! Runs the platform stand-in as a separate process and prints its address.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use argh::FromArgs;
use standins::Platform;
use standins::PlatformServer;
use tokio::signal::ctrl_c;

/// Serves an in-memory key-value service and membership list.
#[derive(FromArgs)]
struct Args {
    /// address to listen on, 127.0.0.1:0 for any free port
    #[argh(option, default = "SocketAddr::from((Ipv4Addr::LOCALHOST, 0))")]
    listen: SocketAddr,
    /// age of the membership list that readers get, in milliseconds
    #[argh(option, default = "0")]
    membership_lag_ms: u64,
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let platform = Platform::new();
    platform.set_membership_lag_ms(args.membership_lag_ms);
    let server = PlatformServer::start(args.listen, platform).await?;
    println!("{}", server.address());
    ctrl_c().await
}
