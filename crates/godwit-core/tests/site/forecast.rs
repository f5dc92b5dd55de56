//! Forecast of the requests that a fleet can serve, and of the servers and failure domains that it cannot lose.

use godwit_core::site::{BackendServer, Forecast, forecast};

use crate::support::{empty_fleet, model, server, with_planned_layers};

fn forecast_of(fleet: &[BackendServer]) -> Forecast {
    let refs: Vec<&BackendServer> = fleet.iter().collect();
    forecast(&model(), &refs)
}

#[test]
fn forecast_of_a_planned_fleet_needs_no_single_server() {
    let forecast = forecast_of(&with_planned_layers(empty_fleet()));
    assert_eq!(forecast.domains.len(), 3);
    assert!(forecast.needed_servers.is_empty(), "{forecast:?}");
    assert!(forecast.needed_domains.is_empty(), "{forecast:?}");
    assert!(forecast.requests_at_once > 0);
}

#[test]
fn forecast_lists_sole_holders_of_layers() {
    let fleet = [
        server("s-1", "a", "large", Some((0, 40))),
        server("s-2", "a", "large", Some((0, 40))),
        server("s-3", "b", "large", Some((40, 80))),
    ];
    let forecast = forecast_of(&fleet);
    assert_eq!(forecast.needed_servers, ["s-3"]);
    assert_eq!(forecast.needed_domains, ["a", "b"]);
    assert!(forecast.domains.iter().all(|domain| domain.crossings == 1), "{forecast:?}");
}

#[test]
fn forecast_of_a_fleet_without_a_path_is_empty() {
    let forecast = forecast_of(&[server("s-1", "a", "large", Some((0, 40)))]);
    assert!(forecast.domains.is_empty());
    assert_eq!(forecast.requests_at_once, 0);
}
