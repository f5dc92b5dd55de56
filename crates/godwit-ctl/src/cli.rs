//! The command line: parsing and the way to each command.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};

use crate::command::bench::{self, BenchCommand, bench_command};
use crate::command::events::{self, set::EventChange};
use crate::command::rules::{self, explain::ExplainedRequest};
use crate::command::standin::{self, StandinCommand, standin_command};
use crate::command::{demo, fleet, host, layout, object};
use crate::error::CtlError;
use crate::output::Format;
use crate::site::FirstPorts;
use crate::store::Store;

/// What all commands share.
#[derive(Bpaf, Clone, Debug)]
struct Common {
    /// Address of the platform's Object API
    #[bpaf(
        long("platform-address"),
        env("GODWIT_PLATFORM_ADDRESS"),
        argument("IP:PORT"),
        fallback("127.0.0.1:7000".to_string()),
        display_fallback
    )]
    platform_address: String,
    /// Output as JSON for programs
    #[bpaf(long("json"))]
    is_json: bool,
}

#[derive(Bpaf, Clone, Debug)]
enum RulesCommand {
    /// Lists the rules of a workspace in their order
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Moves a rule to a place counted from 1, for example `godwitctl rules move farm late-notes 1`
    #[bpaf(command("move"))]
    Move {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Rule
        #[bpaf(positional("RULE"))]
        rule: String,
        /// Place, counted from 1
        #[bpaf(positional("PLACE"))]
        place: usize,
    },
    /// Adds a rule, for example
    /// `godwitctl rules add farm '{"name":"no-notes","when":{"kinds":["note"]},"refuse":{"reason":"closed"}}' --place 1`
    #[bpaf(command("add"))]
    Add {
        #[bpaf(external(common))]
        common: Common,
        /// Place, counted from 1; at the end when absent
        #[bpaf(long("place"), argument("PLACE"))]
        place: Option<usize>,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// The rule as JSON
        #[bpaf(positional("RULE"))]
        rule: String,
    },
    /// Removes a rule
    #[bpaf(command("remove"))]
    Remove {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Rule
        #[bpaf(positional("RULE"))]
        rule: String,
    },
    /// Tells which rule a request would match and why, for example
    /// `godwitctl rules explain farm --kind confirmation --event friday`
    #[bpaf(command("explain"))]
    Explain {
        #[bpaf(external(common))]
        common: Common,
        #[bpaf(external(explained_request))]
        request: ExplainedRequest,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
}

fn explained_request() -> impl Parser<ExplainedRequest> {
    let kind = bpaf::long("kind").help("Kind of the request").argument::<String>("KIND");
    let event =
        bpaf::long("event").help("Event of the request").argument::<String>("EVENT").optional();
    let model =
        bpaf::long("model").help("Model of the request").argument::<String>("MODEL").optional();
    let prompt_bytes = bpaf::long("prompt-bytes")
        .help("Length of the prompt or body")
        .argument::<u64>("BYTES")
        .fallback(0);
    let path = bpaf::long("path")
        .help("Path of the request")
        .argument::<String>("PATH")
        .fallback("/v1/chat/completions".to_string());
    bpaf::construct!(ExplainedRequest { kind, event, model, prompt_bytes, path })
}

#[derive(Bpaf, Clone, Debug)]
enum EventsCommand {
    /// Lists the events of a workspace
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Creates or changes an event, for example
    /// `godwitctl events set farm friday --start-unix-ms 1796400000000 --kind confirmation`
    #[bpaf(command("set"))]
    Set {
        #[bpaf(external(common))]
        common: Common,
        /// Start in Unix milliseconds
        #[bpaf(long("start-unix-ms"), argument("MS"))]
        start_unix_ms: Option<u64>,
        /// Kind tied to the event; may be given many times
        #[bpaf(long("kind"), argument("KIND"))]
        kinds: Vec<String>,
        /// Ledger objects over which the claims are spread; fixed once set
        #[bpaf(long("ledger-slices"), argument("COUNT"))]
        ledger_slices: Option<u32>,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Event
        #[bpaf(positional("EVENT"))]
        event: String,
    },
    /// Removes an event that is over
    #[bpaf(command("remove"))]
    Remove {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Event
        #[bpaf(positional("EVENT"))]
        event: String,
    },
}

/// Operators' command of godwitdeal.
///
/// Exit codes: 0 done, 1 failed, 2 wrong usage, 3 lost race, 4 wrong configuration, 5 platform away, 6 outcome of a
/// write unknown, 7 not found.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("godwitctl"), version, generate(command_line))]
enum Command {
    /// Runs a whole site in one process and sends a few requests of each kind, for example
    /// `godwitctl demo --caller-port 8080 --exit`
    #[bpaf(command("demo"))]
    Demo {
        #[bpaf(external(first_ports))]
        ports: FirstPorts,
        /// Ends after the tour, with exit code 0 only if all went as told
        #[bpaf(long("exit"))]
        exits_after_tour: bool,
    },
    /// Plans which layers the servers of a fleet hold and predicts what that brings, without a platform, for example
    /// `godwitctl layout docs/examples/fleet.toml`
    #[bpaf(command("layout"))]
    Layout {
        /// Output as JSON for programs
        #[bpaf(long("json"))]
        is_json: bool,
        /// File that describes the model, the kinds of accelerators and the servers
        #[bpaf(positional("FLEET"))]
        path: PathBuf,
    },
    /// Prints a configuration object in the form that `apply` takes, or the list of all objects
    #[bpaf(command("get"))]
    Get {
        #[bpaf(external(common))]
        common: Common,
        /// Object such as `config/fleet` or `config/workspaces/farm`
        #[bpaf(positional("OBJECT"))]
        name: Option<String>,
    },
    /// Writes an object at the version that its file names, for example
    /// `godwitctl get config/fleet > fleet.json`, edit, `godwitctl apply fleet.json`
    #[bpaf(command("apply"))]
    Apply {
        #[bpaf(external(common))]
        common: Common,
        /// File in the form that `get` prints; `-` reads standard input
        #[bpaf(positional("FILE"))]
        path: String,
    },
    /// Rules of a workspace
    #[bpaf(command("rules"))]
    Rules(#[bpaf(external(rules_command))] RulesCommand),
    /// Events of a workspace
    #[bpaf(command("events"))]
    Events(#[bpaf(external(events_command))] EventsCommand),
    /// Gives no new work to an entry host or backend server
    #[bpaf(command("drain"))]
    Drain {
        #[bpaf(external(common))]
        common: Common,
        /// Entry host or backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Ends a drain
    #[bpaf(command("undrain"))]
    Undrain {
        #[bpaf(external(common))]
        common: Common,
        /// Entry host or backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Entry hosts of the platform's list, each asked for its state
    #[bpaf(command("hosts"))]
    Hosts {
        #[bpaf(external(common))]
        common: Common,
    },
    /// Backend servers as a host sees them
    #[bpaf(command("servers"))]
    Servers {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Everything that a host holds in memory, as JSON
    #[bpaf(command("dump"))]
    Dump {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Short view of a host and its neighbours
    #[bpaf(command("status"))]
    Status {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// One stand-in of the platform, of an engine or of a plain service, until SIGINT or SIGTERM
    #[bpaf(command("standin"))]
    Standin(#[bpaf(external(standin_command))] StandinCommand),
    /// Measurements of the whole path
    #[bpaf(command("bench"))]
    Bench(#[bpaf(external(bench_command))] BenchCommand),
}

fn first_port(flag: &'static str, help: &'static str) -> impl Parser<Option<u16>> {
    bpaf::long(flag).help(help).argument::<u16>("PORT").optional()
}

fn first_ports() -> impl Parser<FirstPorts> {
    let caller = first_port("caller-port", "First port for callers; host n on port + n");
    let operator = first_port("operator-port", "First port for operators; host n on port + n");
    let platform = first_port("platform-port", "Port of the platform");
    let service = first_port("service-port", "First port of the plain services");
    bpaf::construct!(FirstPorts { caller, operator, platform, service })
}

fn store_and_format(common: &Common) -> (Store, Format) {
    (Store::new(&common.platform_address), Format::new(common.is_json))
}

fn run_rules(command: &RulesCommand) -> Result<(), CtlError> {
    match command {
        RulesCommand::List { common, workspace } => {
            let (store, format) = store_and_format(common);
            rules::list::run(&store, workspace, format)
        }
        RulesCommand::Move { common, workspace, rule, place } => {
            rules::r#move::run(&store_and_format(common).0, workspace, rule, *place)
        }
        RulesCommand::Add { common, place, workspace, rule } => {
            rules::add::run(&store_and_format(common).0, workspace, rule, *place)
        }
        RulesCommand::Remove { common, workspace, rule } => {
            rules::remove::run(&store_and_format(common).0, workspace, rule)
        }
        RulesCommand::Explain { common, request, workspace } => {
            let (store, format) = store_and_format(common);
            rules::explain::run(&store, workspace, request, format)
        }
    }
}

fn run_events(command: &EventsCommand) -> Result<(), CtlError> {
    match command {
        EventsCommand::List { common, workspace } => {
            let (store, format) = store_and_format(common);
            events::list::run(&store, workspace, format)
        }
        EventsCommand::Set { common, start_unix_ms, kinds, ledger_slices, workspace, event } => {
            let change = EventChange {
                name: event.clone(),
                start_unix_ms: *start_unix_ms,
                kinds: kinds.clone(),
                ledger_slices: *ledger_slices,
            };
            events::set::run(&store_and_format(common).0, workspace, &change)
        }
        EventsCommand::Remove { common, workspace, event } => {
            events::remove::run(&store_and_format(common).0, workspace, event)
        }
    }
}

fn run_command(command: &Command) -> Result<(), CtlError> {
    match command {
        Command::Demo { ports, exits_after_tour } => demo::run(*ports, *exits_after_tour),
        Command::Layout { is_json, path } => layout::run(path, Format::new(*is_json)),
        Command::Get { common, name } => {
            let (store, format) = store_and_format(common);
            object::get::run(&store, name.as_deref(), format)
        }
        Command::Apply { common, path } => object::apply::run(&store_and_format(common).0, path),
        Command::Rules(rules) => run_rules(rules),
        Command::Events(events) => run_events(events),
        Command::Drain { common, name } => fleet::drain::run(&store_and_format(common).0, name),
        Command::Undrain { common, name } => fleet::undrain::run(&store_and_format(common).0, name),
        Command::Hosts { common } => {
            let (store, format) = store_and_format(common);
            fleet::hosts::run(&store, format)
        }
        Command::Servers { common, host } => {
            let (store, format) = store_and_format(common);
            fleet::servers::run(&host::operator_address(&store, host)?, format)
        }
        Command::Dump { common, host } => {
            host::dump::run(&host::operator_address(&store_and_format(common).0, host)?)
        }
        Command::Status { common, host } => {
            let (store, format) = store_and_format(common);
            host::status::run(&host::operator_address(&store, host)?, format)
        }
        Command::Standin(command) => standin::run(command),
        Command::Bench(command) => bench::run(command),
    }
}

/// Parses the command line, runs the command and returns its exit code.
pub fn run() -> ExitCode {
    let command = match command_line().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => {
            failure.print_message(100);
            return if failure.exit_code() == 0 { ExitCode::SUCCESS } else { ExitCode::from(2) };
        }
    };
    match run_command(&command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
