//! Passes bytes on between a backend server and another host.

use std::io::{self, ErrorKind};

use bytes::{Buf, Bytes, BytesMut};
use tokio::io::AsyncWriteExt;

use super::READ_BUFFER_BYTES;
use super::channel::Channel;
use super::connection::Connection;
use super::frames::{FrameKind, encode_data, encode_signal};

/// Passes the bytes of both directions on until the other host releases the connection. Returns the content of the
/// release. `on_notice` gets the content of each notice of the other host.
///
/// # Errors
/// When the channel ends or breaks.
pub(crate) async fn relay(
    connection: &mut Connection,
    channel: &mut Channel,
    mut on_notice: impl FnMut(&[u8]),
) -> io::Result<Bytes> {
    let (mut server_reader, mut server_writer) = connection.transport.split();
    let (mut host_reader, mut host_writer) = channel.split();
    let mut to_server = Bytes::new();
    let mut to_host = Bytes::new();
    let mut from_server = BytesMut::new();
    let mut is_server_open = true;
    // How the server's connection has ended, until the other host is told.
    let mut untold_end = None;
    loop {
        if to_host.is_empty()
            && let Some(end) = untold_end.take()
        {
            to_host = encode_signal(end).into();
        }
        from_server.reserve(READ_BUFFER_BYTES);
        tokio::select! {
            frame = host_reader.read_frame(), if to_server.is_empty() => match frame? {
                (FrameKind::Data, bytes) if is_server_open => {
                    connection.has_carried = true;
                    to_server = bytes;
                }
                (FrameKind::Data, _) => {}
                (FrameKind::Notice, content) => on_notice(&content),
                (FrameKind::Release, content) => {
                    connection.is_reusable = is_server_open && to_host.is_empty();
                    host_writer.write_all(&to_host).await?;
                    return Ok(content);
                }
                _ => return Err(ErrorKind::InvalidData.into()),
            },
            read = server_reader.read(&mut from_server), if is_server_open && to_host.is_empty() => {
                match read {
                    Ok(count) if count > 0 => to_host = encode_data(&from_server.split()).into(),
                    ended => {
                        is_server_open = false;
                        untold_end = Some(if ended.is_ok() { FrameKind::End } else { FrameKind::Reset });
                    }
                }
            }
            written = server_writer.write(&to_server), if !to_server.is_empty() => match written {
                Ok(count) if count > 0 => to_server.advance(count),
                _ => {
                    to_server.clear();
                    if is_server_open {
                        is_server_open = false;
                        untold_end = Some(FrameKind::Reset);
                    }
                }
            },
            written = host_writer.write(&to_host), if !to_host.is_empty() => {
                let count = written?;
                if count == 0 {
                    return Err(ErrorKind::WriteZero.into());
                }
                to_host.advance(count);
            }
        }
    }
}
