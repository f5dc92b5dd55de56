//! Opens connections to servers for other hosts and passes bytes on.

use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::site::ServerState;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::timeout;
use tracing::{debug, info, warn};

use super::messages::{OpenReply, OpenRequest, Release, ServerNotice};
use super::open::{ServerTarget, is_refused, open_directly};
use super::probe::{any_other_server, probe};
use crate::forward::CounterGuard;
use crate::listeners::accept;
use crate::site::Site;
use crate::wire::{Channel, Connection, FrameKind, configure_stream, encode_message, relay};

/// Time for which a channel may be idle; longer than the other host keeps it.
const CHANNEL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Timeout for opening a connection for another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Timeout for opening a connection that shows whether the own links work.
const PROOF_TIMEOUT: Duration = Duration::from_millis(80);

/// Time for which an opened connection shows that the own links work, in milliseconds.
const PROOF_MS: u64 = 200;

/// Divisor of the number of descriptors that gives the largest number of detours, each of which uses two.
const DESCRIPTORS_PER_DETOUR: u64 = 8;

/// Serves the channels of other hosts for as long as the process runs.
pub(crate) async fn serve_detours(site: Rc<Site>, listener: TcpListener) {
    loop {
        let stream = accept(&listener).await;
        let site = site.clone();
        spawn_local(async move {
            let peer = stream.peer_addr().ok();
            if let Err(error) = serve_channel(&site, stream).await {
                debug!(event = "channel_ended", ?peer, %error);
            }
        });
    }
}

async fn serve_channel(site: &Rc<Site>, stream: TcpStream) -> io::Result<()> {
    let peer = stream.peer_addr()?;
    configure_stream(&stream)?;
    let mut channel = Channel::new("", stream);
    loop {
        let (kind, content) = timeout(CHANNEL_IDLE_TIMEOUT, channel.read_frame()).await??;
        if kind != FrameKind::Open {
            return Err(ErrorKind::InvalidData.into());
        }
        let request: OpenRequest = postcard::from_bytes(&content).map_err(io::Error::other)?;
        let _in_progress = CounterGuard::new(site, |site| &site.requests_in_progress);
        let _detour = CounterGuard::new(site, |site| &site.detours_served);
        let opened = open_for_host(site, &request).await;
        let reply = match &opened {
            Ok(connection) if connection.has_carried() => OpenReply::OpenedKept,
            Ok(_) => OpenReply::Opened,
            Err(reply) => *reply,
        };
        info!(
            event = "detour_served",
            request = request.request_id,
            server = request.server_id,
            %peer,
            ?reply,
        );
        metrics::counter!("detours_served_total").increment(1);
        channel.write(&encode_message(FrameKind::Opened, &reply)?).await?;
        let Ok(mut connection) = opened else { continue };
        let server_id = request.server_id.as_str();
        let on_notice = |content: &[u8]| record_notice(site, server_id, content);
        let content = relay(&mut connection, &mut channel, on_notice).await?;
        let release: Release = postcard::from_bytes(&content).map_err(io::Error::other)?;
        if release.is_reusable {
            let mut pool = site.pool.borrow_mut();
            pool.put(server_id, connection, release.keep_alive_ms, site.now());
        }
    }
}

fn record_notice(site: &Site, server_id: &str, content: &[u8]) {
    match postcard::from_bytes::<ServerNotice>(content) {
        Ok(notice) => site.record_notice(server_id, &notice),
        Err(error) => warn!(event = "notice_unreadable", server = server_id, %error),
    }
}

/// Opens a connection to a server over an own link for another host. Never asks a third host.
async fn open_for_host(site: &Site, request: &OpenRequest) -> Result<Connection, OpenReply> {
    let server_id = request.server_id.as_str();
    let served = site.detours_served.get() as u64;
    if site.is_stopping.get() || served > site.settings.descriptors / DESCRIPTORS_PER_DETOUR {
        return Err(OpenReply::Busy);
    }
    let server = site.registry.borrow().get(server_id).cloned();
    let server = server.filter(|server| server.state == ServerState::Ready);
    let server = server.ok_or(OpenReply::NotUsable)?;
    if let Some(end) = site.hold_off_end(server_id) {
        return Err(OpenReply::HoldsOff { for_ms: end.since_ms(site.now()) });
    }
    if site.links.borrow().are_lost() {
        return Err(OpenReply::LinksLost);
    }
    if !request.needs_new
        && let Some(connection) = site.pool.borrow_mut().take(server_id, site.now())
    {
        return Ok(connection);
    }
    let error = match open_directly(site, ServerTarget::of(&server), CONNECT_TIMEOUT).await {
        Ok(connection) => return Ok(connection),
        Err(error) => error,
    };
    if !are_links_proven(site, server_id).await {
        return Err(OpenReply::LinksLost);
    }
    Err(OpenReply::Unreachable { is_refused: is_refused(&error) })
}

/// Whether a connection to some other server shows that the own links work.
async fn are_links_proven(site: &Site, server_id: &str) -> bool {
    let since = SteadyMs(site.now().0.saturating_sub(PROOF_MS));
    if site.links.borrow().has_opened_since(since) {
        return true;
    }
    let Some(other) = any_other_server(site, server_id) else { return true };
    probe(site, &other, PROOF_TIMEOUT).await
}
