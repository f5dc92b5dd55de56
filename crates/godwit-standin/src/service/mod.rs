//! Stand-in for a plain service, some of whose calls must not be repeated.

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

/// Running stand-in for a plain service; stops when dropped.
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
    /// Binds both addresses and starts serving.
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

    /// Address that serves `PUT /faults` and `GET /journal`, also while faults are active.
    pub fn control_address(&self) -> SocketAddr {
        self.control_listener.address()
    }

    /// Replaces all faults; faults that are not set any more end.
    pub fn set_faults(&self, faults: ServiceFaults) {
        self.api.set_faults(faults);
    }

    /// Journal entries that are still kept, oldest first.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.api.journal()
    }

    /// Count of journal entries dropped because the journal was full.
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
