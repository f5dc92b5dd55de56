//! Binary of an entry host: `godwitdeal gateway` runs it on the users' platform; without that command, the host has the
//! product's own interface.

use bpaf::{Parser, construct};

enum Command {
    Gateway(godwit_gateway::GatewayOptions),
    Host(Box<godwit_host::Settings>),
}

fn command() -> bpaf::OptionParser<Command> {
    let gateway = godwit_gateway::gateway_options()
        .map(Command::Gateway)
        .to_options()
        .descr("Entry host on the users' platform")
        .command("gateway");
    let host = godwit_host::settings().map(|settings| Command::Host(Box::new(settings)));
    construct!([gateway, host])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("Entry host of godwitdeal: a router for pipelines over mixed accelerators")
}

fn main() -> eyre::Result<()> {
    match command().run() {
        Command::Gateway(options) => godwit_gateway::run(&options),
        Command::Host(settings) => godwit_host::run(&settings),
    }
}
