//! `godwitctl layout`: plans which layers the servers of a fleet hold, without a platform, and forecasts the latency
//! and redundancy of the plan.

mod fleet_file;

use std::path::Path;

use godwit_core::site::{BackendServer, Forecast, forecast, plan_layout};
use serde::Serialize;

use crate::error::CtlError;
use crate::output::{Format, print_rows};

/// A server with its planned layers.
#[derive(Debug, Serialize)]
struct PlannedServer<'a> {
    server: &'a str,
    domain: &'a str,
    kind: &'a str,
    /// First layer and the layer after the last; `None` for a server without layers.
    layers: Option<(u32, u32)>,
}

/// Output of the command as JSON.
#[derive(Debug, Serialize)]
struct Report<'a> {
    servers: Vec<PlannedServer<'a>>,
    forecast: Forecast,
}

fn rows(report: &Report<'_>) -> Vec<Vec<String>> {
    let layers = |planned: &PlannedServer<'_>| {
        planned.layers.map_or("none".to_string(), |(from, to)| format!("{from}-{to}"))
    };
    let row = |planned: &PlannedServer<'_>| {
        vec![
            planned.server.to_string(),
            planned.domain.to_string(),
            planned.kind.to_string(),
            layers(planned),
        ]
    };
    report.servers.iter().map(row).collect()
}

fn join_or_none(names: &[String]) -> String {
    if names.is_empty() { "none".to_string() } else { names.join(", ") }
}

fn print_forecast(forecast: &Forecast) {
    println!();
    for domain in &forecast.domains {
        println!(
            "callers in {}: first event after {:.0} ms, then one every {:.0} ms, {} links crossed",
            domain.domain, domain.first_event_ms, domain.event_gap_ms, domain.crossings
        );
    }
    println!("concurrent requests of mean length: {}", forecast.requests_at_once);
    println!("servers without which no path is left: {}", join_or_none(&forecast.needed_servers));
    println!("domains without which no path is left: {}", join_or_none(&forecast.needed_domains));
}

/// Plans the layout of the fleet described in the file at `path` and prints the plan with its forecast.
pub(crate) fn run(path: &Path, format: Format) -> Result<(), CtlError> {
    let (model, mut servers) = fleet_file::read(path)?;
    let empty: Vec<&BackendServer> = servers.iter().collect();
    let plan = plan_layout(&model, &empty);
    for placement in plan {
        let server = servers.iter_mut().find(|server| server.id == placement.server_id);
        if let Some(server) = server {
            server.layers = Some(placement.range);
        }
    }
    let planned: Vec<&BackendServer> = servers.iter().collect();
    let report = Report {
        servers: servers
            .iter()
            .map(|server| PlannedServer {
                server: &server.id,
                domain: &server.failure_domain,
                kind: &server.kind,
                layers: server.layers.map(|range| (range.from, range.to)),
            })
            .collect(),
        forecast: forecast(&model, &planned),
    };
    print_rows(format, &["server", "domain", "kind", "layers"], &rows(&report), &report)?;
    if format == Format::Table {
        print_forecast(&report.forecast);
    }
    Ok(())
}
