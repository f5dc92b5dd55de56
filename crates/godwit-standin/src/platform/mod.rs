//! Stand-in for the platform: Object API, host list and weight store.

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

/// Running stand-in for the platform; stops when dropped.
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
    /// Binds both addresses and starts serving.
    pub fn start(settings: PlatformSettings) -> Result<PlatformStandin, StandinError> {
        let listener = Arc::new(HttpListener::bind(settings.bind)?);
        let control_listener = HttpListener::bind(settings.control_bind)?;
        let api = Arc::new(Api::new(settings, listener.clone()));
        listener.serve(api.clone())?;
        control_listener.serve(Arc::new(ControlApi(api.clone())))?;
        Ok(PlatformStandin { api, listener, control_listener })
    }

    /// Address of the platform API.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address that serves `PUT /faults`, `GET /journal` and `PUT /hosts`, also while faults are active.
    pub fn control_address(&self) -> SocketAddr {
        self.control_listener.address()
    }

    /// Replaces all faults; faults that are not set any more end.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.api.set_faults(faults);
    }

    /// Sets the host list, which callers see after `host_list_lag_ms`.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        self.api.set_hosts(hosts);
    }

    /// Returns the host list as callers currently see it.
    pub fn hosts(&self) -> HostListReply {
        self.api.hosts()
    }

    /// Returns the counts of calls since the start.
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
