//! Stand-in of the platform: Object API, host list and weight store.

mod api;
mod counts;
mod host_list;
mod objects;
mod rate;
mod settings;
mod store;

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_schema::platform::{HostListReply, ListedHost, PlatformFaults};

use crate::StandinError;
use crate::http::Port;
use api::{Api, Control};
pub use counts::CallCounts;
pub use settings::PlatformSettings;

/// A running stand-in of the platform; dropping it stops it.
///
/// ```
/// use godwit_standin::{PlatformSettings, PlatformStandin};
/// let settings = PlatformSettings::new("127.0.0.1:0".parse().unwrap());
/// let platform = PlatformStandin::start(settings)?;
/// let url = format!("http://{}/objects?prefix=config/", platform.address());
/// assert_eq!(minreq::get(url).send().unwrap().status_code, 200);
/// assert_eq!(platform.counts().lists, 1);
/// # Ok::<(), godwit_standin::StandinError>(())
/// ```
pub struct PlatformStandin {
    api: Arc<Api>,
    port: Arc<Port>,
    control: Port,
}

impl PlatformStandin {
    /// Binds the addresses and serves.
    pub fn start(settings: PlatformSettings) -> Result<PlatformStandin, StandinError> {
        let port = Arc::new(Port::bind(settings.bind)?);
        let control = Port::bind(settings.control_bind)?;
        let api = Arc::new(Api::new(settings, port.clone()));
        port.serve(api.clone())?;
        control.serve(Arc::new(Control(api.clone())))?;
        Ok(PlatformStandin { api, port, control })
    }

    /// Address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal` whatever the faults.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
    }

    /// Sets all faults; the former ones end.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Sets the host list, which callers see after the lag of the settings.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.api.set_hosts(hosts);
    }

    /// The host list as callers see it now.
    pub fn hosts(&self) -> HostListReply {
        self.api.hosts()
    }

    /// Calls so far by kind.
    pub fn counts(&self) -> CallCounts {
        self.api.counts()
    }
}

impl Drop for PlatformStandin {
    fn drop(&mut self) {
        self.api.stop();
        self.port.stop();
        self.control.stop();
    }
}
