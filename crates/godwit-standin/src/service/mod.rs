//! Stand-in of a plain service, some of whose calls may not be repeated.

mod api;
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_schema::engine::{JournalEntry, ServiceFaults};

use crate::StandinError;
use crate::http::HttpListener;
pub use api::ServiceReply;
use api::{Api, ControlApi};
pub use settings::ServiceSettings;

/// A running stand-in of a plain service; dropping it stops it.
///
/// ```
/// use godwit_standin::{ServiceSettings, ServiceStandin};
/// let settings = ServiceSettings::new("127.0.0.1:0".parse().unwrap(), "orders-1");
/// let service = ServiceStandin::start(settings)?;
/// let url = format!("http://{}/orders", service.address());
/// assert_eq!(minreq::post(url).with_body("{}").send().unwrap().status_code, 200);
/// assert_eq!(service.journal().len(), 1);
/// # Ok::<(), godwit_standin::StandinError>(())
/// ```
pub struct ServiceStandin {
    api: Arc<Api>,
    listener: Arc<HttpListener>,
    control_listener: HttpListener,
}

impl ServiceStandin {
    /// Binds the addresses and serves.
    pub fn start(settings: ServiceSettings) -> Result<ServiceStandin, StandinError> {
        let listener = Arc::new(HttpListener::bind(settings.bind)?);
        let control_listener = HttpListener::bind(settings.control_bind)?;
        let api = Arc::new(Api::new(settings, listener.clone()));
        listener.serve(api.clone())?;
        control_listener.serve(Arc::new(ControlApi(api.clone())))?;
        Ok(ServiceStandin { api, listener, control_listener })
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal` whatever the faults.
    pub fn control_address(&self) -> SocketAddr {
        self.control_listener.address()
    }

    /// Sets all faults; the former ones end.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.api.set_faults(faults);
    }

    /// Everything that the service ran, oldest first.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.api.journal()
    }

    /// Journal entries that went because the journal was full.
    pub fn journal_dropped(&self) -> u64 {
        self.api.journal_dropped()
    }
}

impl Drop for ServiceStandin {
    fn drop(&mut self) {
        self.api.stop();
        self.listener.stop();
        self.control_listener.stop();
    }
}
