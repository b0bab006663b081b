//! HTTP/1.1 as far as discovery and a client of the OData front need it.

use std::io::{Error, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Reads one message: its head and its body.
pub fn read_message(stream: &mut TcpStream) -> Result<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte)?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body)?;
    Ok((head, body))
}

/// Sends one request on a new connection; returns the status and the body.
pub fn post(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, String)],
    body: &str,
) -> Result<(u16, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(10)))?;
    let mut text = format!("POST {target} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(text.as_bytes())?;
    let (head, body) = read_message(&mut stream)?;
    let status = head.split(' ').nth(1).and_then(|word| word.parse().ok());
    Ok((status.ok_or_else(|| Error::other("no status"))?, String::from_utf8_lossy(&body).into_owned()))
}

/// A time as HTTP writes it.
pub fn date(unix_s: u64) -> String {
    let (days, seconds) = (unix_s / 86_400, unix_s % 86_400);
    // Civil date of a day number, with years that begin in March.
    let z = days as i64 + 719_468;
    let era = z.div_euclid(146_097);
    let doe = z.rem_euclid(146_097);
    let yoe = (doe - doe / 1_460 + doe / 36_524 - doe / 146_096) / 365;
    let doy = doe - (365 * yoe + yoe / 4 - yoe / 100);
    let mp = (5 * doy + 2) / 153;
    let day = doy - (153 * mp + 2) / 5 + 1;
    let month = if mp < 10 { mp + 3 } else { mp - 9 };
    let year = yoe + era * 400 + i64::from(month <= 2);
    let names = ["Jan", "Feb", "Mar", "Apr", "May", "Jun", "Jul", "Aug", "Sep", "Oct", "Nov", "Dec"];
    let weekdays = ["Thu", "Fri", "Sat", "Sun", "Mon", "Tue", "Wed"];
    format!(
        "{}, {day:02} {} {year} {:02}:{:02}:{:02} GMT",
        weekdays[(days % 7) as usize],
        names[(month - 1) as usize],
        seconds / 3600,
        seconds / 60 % 60,
        seconds % 60
    )
}
