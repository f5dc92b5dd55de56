//! Stand-in of the platform: Object API, host list and weight store.

mod api;
mod counts;
mod host_list;
mod objects;
mod settings;
mod store;
mod token_bucket;

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_schema::platform::{HostListReply, ListedHost, PlatformFaults};

use crate::StandinError;
use crate::http::HttpListener;
use api::{Api, ControlApi};
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
    listener: Arc<HttpListener>,
    control_listener: HttpListener,
}

impl PlatformStandin {
    /// Binds the addresses and serves.
    pub fn start(settings: PlatformSettings) -> Result<PlatformStandin, StandinError> {
        let listener = Arc::new(HttpListener::bind(settings.bind)?);
        let control_listener = HttpListener::bind(settings.control_bind)?;
        let api = Arc::new(Api::new(settings, listener.clone()));
        listener.serve(api.clone())?;
        control_listener.serve(Arc::new(ControlApi(api.clone())))?;
        Ok(PlatformStandin { api, listener, control_listener })
    }

    /// Address of the platform.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal` whatever the faults.
    pub fn control_address(&self) -> SocketAddr {
        self.control_listener.address()
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
        self.listener.stop();
        self.control_listener.stop();
    }
}
