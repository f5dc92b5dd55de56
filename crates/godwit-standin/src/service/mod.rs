//! Stand-in of a plain service, some of whose calls may not be repeated.

mod api;
mod settings;

use std::net::SocketAddr;
use std::sync::Arc;

use godwit_schema::engine::{JournalEntry, ServiceFaults};

use crate::StandinError;
use crate::http::Port;
pub use api::ServiceReply;
use api::{Api, Control};
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
    port: Arc<Port>,
    control: Port,
}

impl ServiceStandin {
    /// Binds the addresses and serves.
    pub fn start(settings: ServiceSettings) -> Result<ServiceStandin, StandinError> {
        let port = Arc::new(Port::bind(settings.bind)?);
        let control = Port::bind(settings.control_bind)?;
        let api = Arc::new(Api::new(settings, port.clone()));
        port.serve(api.clone())?;
        control.serve(Arc::new(Control(api.clone())))?;
        Ok(ServiceStandin { api, port, control })
    }

    /// Address of the service.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Address that serves `PUT /faults` and `GET /journal` whatever the faults.
    pub fn control_address(&self) -> SocketAddr {
        self.control.address()
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
        self.port.stop();
        self.control.stop();
    }
}
