//! Command line: parses the arguments and runs the selected command.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{Bpaf, Parser};

use crate::command::bench::{self, BenchCommand, bench_command};
use crate::command::config::{self, ConfigCommand, config_command};
use crate::command::events::{self, set::EventChange};
use crate::command::rules::{self, explain::ExplainedRequest};
use crate::command::standin::{self, StandinCommand, standin_command};
use crate::command::{demo, fleet, host, layout, object};
use crate::error::CtlError;
use crate::output::Format;
use crate::site::FirstPorts;
use crate::store::Store;

/// Flags that most commands share.
#[derive(Bpaf, Clone, Debug)]
pub(crate) struct Common {
    /// Address of the platform's Object API
    #[bpaf(
        long("platform-address"),
        env("GODWIT_PLATFORM_ADDRESS"),
        argument("IP:PORT"),
        fallback("127.0.0.1:7000".to_string()),
        display_fallback
    )]
    platform_address: String,
    /// Prints JSON instead of a table
    #[bpaf(long("json"))]
    is_json: bool,
}

#[derive(Bpaf, Clone, Debug)]
enum RulesCommand {
    /// Lists the rules of a workspace in evaluation order
    #[bpaf(command("list"))]
    List {
        #[bpaf(external(common))]
        common: Common,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
    },
    /// Moves a rule to another position, for example `godwitctl rules move farm late-notes 1`
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
        /// Position, counted from 1
        #[bpaf(positional("PLACE"))]
        place: usize,
    },
    /// Adds a rule
    /// (example: `godwitctl rules add farm '{"name":"no-notes","when":{"kinds":["note"]},"refuse":{"reason":"closed"}}' --place 1`)
    #[bpaf(command("add"))]
    Add {
        #[bpaf(external(common))]
        common: Common,
        /// Position, counted from 1; at the end when absent
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
    /// Shows which rule a request would match and why
    /// (example: `godwitctl rules explain farm --kind confirmation --event friday`)
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
        .help("Length of the prompt or body in bytes")
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
    /// Creates or changes an event
    /// (example: `godwitctl events set farm friday --start-unix-ms 1796400000000 --kind confirmation`)
    #[bpaf(command("set"))]
    Set {
        #[bpaf(external(common))]
        common: Common,
        /// Start, in milliseconds since the Unix epoch; required for a new event
        #[bpaf(long("start-unix-ms"), argument("MS"))]
        start_unix_ms: Option<u64>,
        /// Kind of work that belongs to the event; may be given several times
        #[bpaf(long("kind"), argument("KIND"))]
        kinds: Vec<String>,
        /// Number of ledger objects over which claims are spread; cannot be changed later
        #[bpaf(long("ledger-slices"), argument("COUNT"))]
        ledger_slices: Option<u32>,
        /// Workspace
        #[bpaf(positional("WORKSPACE"))]
        workspace: String,
        /// Event
        #[bpaf(positional("EVENT"))]
        event: String,
    },
    /// Removes an event that has passed
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
/// Exit codes: 0 success, 1 failure, 2 wrong usage, 3 version conflict, 4 invalid configuration, 5 platform
/// unavailable, 6 outcome of a write unknown, 7 not found. Of `config check`: 0 sound, 1 warnings, 2 errors.
#[derive(Bpaf, Clone, Debug)]
#[bpaf(options("godwitctl"), version, generate(command_line))]
enum Command {
    /// Runs a whole site in one process and sends example requests to it
    /// (example: `godwitctl demo --caller-port 8080 --exit`)
    #[bpaf(command("demo"))]
    Demo {
        #[bpaf(external(first_ports))]
        ports: FirstPorts,
        /// Exits after the example requests, with code 0 only if every result is as expected
        #[bpaf(long("exit"))]
        exits_after_tour: bool,
    },
    /// Plans which layers the servers of a fleet hold and forecasts latency and redundancy, without a platform
    /// (example: `godwitctl layout docs/examples/fleet.toml`)
    #[bpaf(command("layout"))]
    Layout {
        /// Prints JSON instead of a table
        #[bpaf(long("json"))]
        is_json: bool,
        /// File that describes the model, the kinds of accelerators and the servers
        #[bpaf(positional("FLEET"))]
        path: PathBuf,
    },
    /// Prints a configuration object in the format that `apply` reads, or the list of all objects
    #[bpaf(command("get"))]
    Get {
        #[bpaf(external(common))]
        common: Common,
        /// Object such as `config/fleet` or `config/workspaces/farm`
        #[bpaf(positional("OBJECT"))]
        name: Option<String>,
    },
    /// Writes an object if its version is still the one in the file
    /// (example: `godwitctl get config/fleet > fleet.json`, edit, `godwitctl apply fleet.json`)
    #[bpaf(command("apply"))]
    Apply {
        #[bpaf(external(common))]
        common: Common,
        /// File in the format that `get` prints; `-` reads standard input
        #[bpaf(positional("FILE"))]
        path: String,
    },
    /// Checks files with configurations
    #[bpaf(command("config"))]
    Config(#[bpaf(external(config_command))] ConfigCommand),
    /// Lists, changes and explains the rules of a workspace
    #[bpaf(command("rules"))]
    Rules(#[bpaf(external(rules_command))] RulesCommand),
    /// Lists and changes the events of a workspace
    #[bpaf(command("events"))]
    Events(#[bpaf(external(events_command))] EventsCommand),
    /// Stops giving new work to an entry host or backend server
    #[bpaf(command("drain"))]
    Drain {
        #[bpaf(external(common))]
        common: Common,
        /// Entry host or backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Ends the drain of an entry host or backend server
    #[bpaf(command("undrain"))]
    Undrain {
        #[bpaf(external(common))]
        common: Common,
        /// Entry host or backend server
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Prints the entry hosts in the platform's host list with the state that each reports
    #[bpaf(command("hosts"))]
    Hosts {
        #[bpaf(external(common))]
        common: Common,
    },
    /// Prints the backend servers from the view of one host
    #[bpaf(command("servers"))]
    Servers {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Prints the in-memory state of a host as JSON
    #[bpaf(command("dump"))]
    Dump {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Prints the status of a host and its neighbours
    #[bpaf(command("status"))]
    Status {
        #[bpaf(external(common))]
        common: Common,
        /// Host by name, or its operator address
        #[bpaf(positional("HOST"))]
        host: String,
    },
    /// Runs one stand-in of the platform, of an engine or of a plain service until SIGINT or SIGTERM
    #[bpaf(command("standin"))]
    Standin(#[bpaf(external(standin_command))] StandinCommand),
    /// Runs end-to-end measurements
    #[bpaf(command("bench"))]
    Bench(#[bpaf(external(bench_command))] BenchCommand),
}

fn first_port(flag: &'static str, help: &'static str) -> impl Parser<Option<u16>> {
    bpaf::long(flag).help(help).argument::<u16>("PORT").optional()
}

fn first_ports() -> impl Parser<FirstPorts> {
    let caller = first_port("caller-port", "First port for callers; host n uses port + n");
    let operator = first_port("operator-port", "First port for operators; host n uses port + n");
    let platform = first_port("platform-port", "Port of the platform");
    let service = first_port("service-port", "Port of the plain service");
    bpaf::construct!(FirstPorts { caller, operator, platform, service })
}

pub(crate) fn store_and_format(common: &Common) -> (Store, Format) {
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
        Command::Config(command) => config::run(command),
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

/// Parses the command line, runs the command and returns its exit code. Errors are printed to standard error.
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
