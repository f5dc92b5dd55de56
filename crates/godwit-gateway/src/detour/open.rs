//! Opens connections to servers, through another host where the own link does not work.

use std::collections::BTreeSet;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use godwit_core::SteadyMs;
use godwit_core::site::{BackendServer, PeerHost};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::{debug, info};

use super::messages::{OpenReply, OpenRequest, Release};
use crate::site::Site;
use crate::wire::{Channel, Connection, FrameKind, WireError, configure_stream, encode_message};

/// Timeout for opening a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time without a connection after which another host is asked as well.
const HEDGE_DELAY: Duration = Duration::from_millis(40);

/// Timeout for connecting to another host.
const HOST_CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Timeout for the answer of another host; longer than it takes that host to find out whether its own links work.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which no further host is asked, in milliseconds.
const ASK_MS: u64 = 400;

/// Largest number of hosts that are asked for one connection.
const MAX_ASKED: usize = 6;

/// Number of hosts whose links work that must not reach a server for it to count as unreachable.
const CONFIRMATIONS: usize = 2;

/// A server to connect to, and why.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerTarget<'a> {
    pub(crate) server_id: &'a str,
    pub(crate) address: SocketAddr,
    /// Request that needs the connection; empty if none does.
    pub(crate) request_id: &'a str,
    /// Whether the answer could not be told from one to an earlier request, so that a connection that has carried one does
    /// not serve.
    pub(crate) needs_new: bool,
}

impl<'a> ServerTarget<'a> {
    /// Returns a server that no request needs.
    pub(crate) fn of(server: &'a BackendServer) -> ServerTarget<'a> {
        ServerTarget::without_request(&server.id, server.address)
    }

    /// Returns the server at an address, which no request needs.
    pub(crate) fn without_request(server_id: &'a str, address: SocketAddr) -> ServerTarget<'a> {
        ServerTarget { server_id, address, request_id: "", needs_new: true }
    }
}

/// Why there is no connection to a server.
#[derive(Debug)]
pub(crate) enum OpenError {
    /// The server cannot be reached.
    Unreachable {
        error: WireError,
        /// Whether the server is at fault, because the links of other hosts work or there are no other hosts. Otherwise
        /// the links of this host may be the cause.
        is_confirmed: bool,
        /// Whether several other hosts do not reach the server either.
        is_agreed: bool,
    },
    /// The server wants no requests for a time.
    HoldsOff,
}

impl std::fmt::Display for OpenError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            OpenError::Unreachable { error, .. } => error.fmt(formatter),
            OpenError::HoldsOff => formatter.write_str("the server holds off"),
        }
    }
}

/// Why no other host has opened a connection.
pub(super) enum DetourError {
    /// Hosts whose links work do not reach the server.
    Unreachable {
        is_refused: bool,
        is_agreed: bool,
    },
    HoldsOff,
    /// No host could tell.
    Unknown,
}

/// Whether nothing listens at the address of a server.
pub(super) fn is_refused(error: &WireError) -> bool {
    matches!(error, WireError::Connect(error) if error.kind() == ErrorKind::ConnectionRefused)
}

fn connect_error(kind: ErrorKind) -> WireError {
    WireError::Connect(kind.into())
}

/// Opens a connection to a server over the own link.
pub(super) async fn open_directly(
    site: &Site,
    target: ServerTarget<'_>,
    wait: Duration,
) -> Result<Connection, WireError> {
    metrics::counter!("server_connections_total").increment(1);
    let opened = timeout(wait, Connection::open(target.address)).await;
    let connection = opened.unwrap_or_else(|_| Err(connect_error(ErrorKind::TimedOut)))?;
    site.record_link_opened(target.server_id);
    Ok(connection)
}

/// Opens a new connection to a server over the own link, or through another host if that does not work.
pub(crate) async fn open_server(
    site: &Site,
    target: ServerTarget<'_>,
) -> Result<Connection, OpenError> {
    let opened = open_either_way(site, target).await;
    if let Err(OpenError::Unreachable { is_confirmed: false, error, .. }) = &opened {
        site.record_unreached(target.server_id, is_refused(error));
    }
    opened
}

async fn open_either_way(site: &Site, target: ServerTarget<'_>) -> Result<Connection, OpenError> {
    let open_directly = || open_directly(site, target, CONNECT_TIMEOUT);
    if site.detour_hosts.borrow().is_empty() {
        let opened = open_directly().await;
        return opened.map_err(|error| unreachable_directly(error, true));
    }
    let uses_detour = site.links.borrow().uses_detour(target.server_id, site.now());
    if uses_detour {
        return match open_detour(site, target, target.needs_new).await {
            Err(DetourError::Unknown) if !site.links.borrow().are_lost() => {
                let opened = open_directly().await;
                opened.map_err(|error| unreachable_directly(error, false))
            }
            detour => {
                detour.map_err(|cause| open_error(connect_error(ErrorKind::TimedOut), &cause))
            }
        };
    }
    let mut direct = pin!(open_directly());
    let early = timeout(HEDGE_DELAY, direct.as_mut()).await;
    let mut detour = pin!(open_detour(site, target, true));
    let (direct, detour) = match early {
        Ok(Ok(connection)) => return Ok(connection),
        Ok(Err(error)) => (error, detour.await),
        Err(_) => tokio::select! {
            opened = direct.as_mut() => match opened {
                Ok(connection) => return Ok(connection),
                Err(error) => (error, detour.await),
            },
            detour = detour.as_mut() => match detour {
                Ok(connection) => (connect_error(ErrorKind::TimedOut), Ok(connection)),
                Err(cause) => match direct.await {
                    Ok(connection) => return Ok(connection),
                    Err(error) => (error, Err(cause)),
                },
            },
        },
    };
    let connection = detour.map_err(|cause| open_error(direct, &cause))?;
    site.record_detour(target.server_id);
    Ok(connection)
}

/// Returns the error of a server that the own link does not reach, and of which no other host has told.
fn unreachable_directly(error: WireError, is_confirmed: bool) -> OpenError {
    OpenError::Unreachable { error, is_confirmed, is_agreed: false }
}

/// Joins the results of both ways, none of which has led to the server.
fn open_error(direct: WireError, detour: &DetourError) -> OpenError {
    match detour {
        DetourError::HoldsOff => OpenError::HoldsOff,
        DetourError::Unknown => unreachable_directly(direct, false),
        DetourError::Unreachable { is_refused, is_agreed } => {
            let kind = if *is_refused { ErrorKind::ConnectionRefused } else { ErrorKind::TimedOut };
            let error = connect_error(kind);
            OpenError::Unreachable { error, is_confirmed: true, is_agreed: *is_agreed }
        }
    }
}

/// Opens a connection to a server through another host.
pub(super) async fn open_detour(
    site: &Site,
    target: ServerTarget<'_>,
    needs_new: bool,
) -> Result<Connection, DetourError> {
    let ask_until = site.now().plus_ms(ASK_MS);
    let mut asked = BTreeSet::new();
    let mut denials = Vec::new();
    while asked.len() < MAX_ASKED && !ask_until.is_past(site.now()) {
        let seed = rand::random();
        let host = site.detour_hosts.borrow().next(&asked, seed, site.now()).cloned();
        let Some(host) = host else { break };
        asked.insert(host.name.clone());
        let request = OpenRequest {
            server_id: target.server_id.to_string(),
            request_id: target.request_id.to_string(),
            needs_new,
        };
        let result = ask(site, &host, &request).await;
        let now = site.now();
        let reply = result.as_ref().map(|(_, reply)| *reply);
        debug!(event = "detour_asked", server = target.server_id, host = host.name, ?reply);
        let Ok((channel, reply)) = result else {
            site.detour_hosts.borrow_mut().record_useless(&host.name, now);
            continue;
        };
        match reply {
            OpenReply::Opened | OpenReply::OpenedKept => {
                site.detour_hosts.borrow_mut().record_useful(&host.name);
                info!(
                    event = "detour",
                    request = target.request_id,
                    server = target.server_id,
                    host = host.name,
                    asked = asked.len(),
                );
                metrics::counter!("detours_total").increment(1);
                return Ok(Connection::over(channel, reply == OpenReply::OpenedKept));
            }
            OpenReply::HoldsOff { for_ms } => {
                site.record_hold_off(target.server_id, for_ms);
                site.keep_channel(channel);
                return Err(DetourError::HoldsOff);
            }
            OpenReply::Unreachable { is_refused } => {
                site.keep_channel(channel);
                denials.push(is_refused);
                if denials.len() >= CONFIRMATIONS {
                    break;
                }
            }
            OpenReply::NotUsable => site.keep_channel(channel),
            OpenReply::LinksLost | OpenReply::Busy => {
                site.keep_channel(channel);
                site.detour_hosts.borrow_mut().record_useless(&host.name, now);
            }
        }
    }
    match denials.first() {
        Some(is_refused) => {
            let is_agreed = denials.len() >= CONFIRMATIONS && denials.iter().all(|denial| *denial);
            Err(DetourError::Unreachable { is_refused: *is_refused, is_agreed })
        }
        None => Err(DetourError::Unknown),
    }
}

/// Asks another host for a connection to a server.
async fn ask(
    site: &Site,
    host: &PeerHost,
    request: &OpenRequest,
) -> io::Result<(Channel, OpenReply)> {
    let frame = encode_message(FrameKind::Open, request)?;
    let kept = site.take_channel(&host.name);
    if let Some(mut channel) = kept
        && let Ok(reply) = exchange(&mut channel, &frame).await
    {
        return Ok((channel, reply));
    }
    let connected = timeout(HOST_CONNECT_TIMEOUT, TcpStream::connect(host.address)).await;
    let stream = connected??;
    configure_stream(&stream)?;
    let mut channel = Channel::new(&host.name, stream);
    let reply = exchange(&mut channel, &frame).await?;
    Ok((channel, reply))
}

async fn exchange(channel: &mut Channel, frame: &[u8]) -> io::Result<OpenReply> {
    let answer = async {
        channel.write(frame).await?;
        loop {
            // What the server sent after its last response may still arrive.
            match channel.read_frame().await? {
                (FrameKind::Opened, content) => {
                    return postcard::from_bytes(&content).map_err(io::Error::other);
                }
                (FrameKind::Data | FrameKind::End | FrameKind::Reset, _) => {}
                _ => return Err(ErrorKind::InvalidData.into()),
            }
        }
    };
    timeout(ANSWER_TIMEOUT, answer).await?
}

/// Returns a connection for other requests to the server, or to the host that opened it.
pub(crate) fn release_connection(
    site: &Site,
    server_id: &str,
    connection: Connection,
    keep_alive_ms: Option<u64>,
) {
    if connection.is_direct() {
        site.pool.borrow_mut().put(server_id, connection, keep_alive_ms, site.now());
        return;
    }
    let release = Release { is_reusable: connection.is_idle(), keep_alive_ms };
    let Some(channel) = connection.into_channel() else { return };
    if channel.try_write(FrameKind::Release, &release).is_ok() {
        site.keep_channel(channel);
    }
}

/// An idle channel to another host.
pub(crate) struct IdleChannel {
    channel: Channel,
    usable_until: SteadyMs,
}

/// Time for which an idle channel is kept, in milliseconds; shorter than the other host keeps it.
const CHANNEL_IDLE_MS: u64 = 3_000;

/// Largest number of idle channels; further ones are closed.
const MAX_IDLE_CHANNELS: usize = 64;

impl Site {
    fn take_channel(&self, host: &str) -> Option<Channel> {
        let mut idle = self.idle_channels.borrow_mut();
        let now = self.now();
        idle.retain(|entry| !entry.usable_until.is_past(now));
        let index = idle.iter().rposition(|entry| entry.channel.host == host)?;
        let entry = idle.remove(index);
        Some(entry.channel)
    }

    fn keep_channel(&self, channel: Channel) {
        let mut idle = self.idle_channels.borrow_mut();
        if idle.len() < MAX_IDLE_CHANNELS {
            let usable_until = self.now().plus_ms(CHANNEL_IDLE_MS);
            idle.push(IdleChannel { channel, usable_until });
        }
    }
}
