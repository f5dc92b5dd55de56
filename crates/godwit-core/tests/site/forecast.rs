use godwit_core::site::{BackendServer, Forecast, forecast};

use crate::support::{empty_fleet, laid_out, model, server};

fn of(fleet: &[BackendServer]) -> Forecast {
    let refs: Vec<&BackendServer> = fleet.iter().collect();
    forecast(&model(), &refs)
}

#[test]
fn forecast_of_a_laid_out_fleet_needs_no_single_server() {
    let found = of(&laid_out(empty_fleet()));
    assert_eq!(found.domains.len(), 3);
    assert!(found.needed_servers.is_empty(), "{found:?}");
    assert!(found.needed_domains.is_empty(), "{found:?}");
    assert!(found.requests_at_once > 0);
}

#[test]
fn forecast_names_what_holds_layers_alone() {
    let fleet = [
        server("s-1", "a", "large", Some((0, 40))),
        server("s-2", "a", "large", Some((0, 40))),
        server("s-3", "b", "large", Some((40, 80))),
    ];
    let found = of(&fleet);
    assert_eq!(found.needed_servers, ["s-3"]);
    assert_eq!(found.needed_domains, ["a", "b"]);
    assert!(found.domains.iter().all(|domain| domain.crossings == 1), "{found:?}");
}

#[test]
fn forecast_of_a_fleet_without_a_path_promises_nothing() {
    let found = of(&[server("s-1", "a", "large", Some((0, 40)))]);
    assert!(found.domains.is_empty());
    assert_eq!(found.requests_at_once, 0);
}
