//! Runs the plain-service stand-in as a separate process and prints its address.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;

use argh::FromArgs;
use platform::HttpMembershipList;
use standins::Service;
use standins::ServiceSettings;
use tokio::signal::ctrl_c;

/// Serves a plain service: GET is a lookup, any other method adds an entry.
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
}

#[tokio::main]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let list = Arc::new(HttpMembershipList::new(args.platform));
    let settings = ServiceSettings {
        name: args.name,
        region: args.region,
        failure_domain: args.failure_domain,
    };
    let service = Service::start(args.listen, settings).await?;
    let _announcer = service.announce(list);
    println!("{}", service.address());
    ctrl_c().await
}
