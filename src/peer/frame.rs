//! Framing of messages on a connection between controllers: the length of the message in four bytes (little-endian),
//! followed by the message encoded in Borsh.

use borsh::{BorshDeserialize, BorshSerialize};
use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Maximum size of a received message, in bytes.
const MAX_MESSAGE_BYTES: u32 = 64 * 1024;

/// Writes one message.
pub(super) fn write_frame<T: BorshSerialize>(
    stream: &mut TcpStream,
    message: &T,
) -> io::Result<()> {
    let body = borsh::to_vec(message)?;
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend_from_slice(&body);
    stream.write_all(&frame)
}

/// Reads one message. After any error the connection is unusable.
pub(super) fn read_frame<T: BorshDeserialize>(stream: &mut TcpStream) -> io::Result<T> {
    let mut length = [0u8; 4];
    stream.read_exact(&mut length)?;
    let length = u32::from_le_bytes(length);
    if length > MAX_MESSAGE_BYTES {
        let message =
            format!("message of {length} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes");
        return Err(io::Error::other(message));
    }
    let mut body = vec![0u8; length as usize];
    stream.read_exact(&mut body)?;
    borsh::from_slice(&body)
}
