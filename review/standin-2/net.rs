//! HTTP/1.1 over loopback: a server with a thread for each connection, and a client.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

/// A request as read.
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: Vec<(String, String)>,
    pub headers: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn query(&self, name: &str) -> &str {
        let found = self.query.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }

    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map_or("", |(_, value)| value)
    }
}

/// What the server does with a request.
pub enum Answer {
    /// It answers with a status and a JSON body.
    Send(u16, String),
    /// It closes the connection without an answer.
    Close,
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = text.get(at + 1..at + 3);
        let code = code.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Some(headers);
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
}

fn content_length(headers: &[(String, String)]) -> usize {
    let length = headers.iter().find(|(name, _)| name == "content-length");
    length
        .and_then(|(_, value)| value.parse().ok())
        .unwrap_or(0)
}

fn read_request(reader: &mut BufReader<TcpStream>) -> Option<Request> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut words = line.split_whitespace();
    let (method, target) = (words.next()?.to_owned(), words.next()?.to_owned());
    let headers = read_headers(reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    let (path, query) = target.split_once('?').unwrap_or((&target, ""));
    let query = query.split('&').filter_map(|pair| pair.split_once('='));
    Some(Request {
        method,
        path: path.to_owned(),
        query: query
            .map(|(name, value)| (unescape(name), unescape(value)))
            .collect(),
        headers,
        body: String::from_utf8_lossy(&body).into_owned(),
    })
}

/// Serves a listener until the program ends.
pub fn serve(listener: TcpListener, handle: impl Fn(&Request) -> Answer + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            std::thread::spawn(move || serve_connection(stream, &*handle));
        }
    });
}

fn serve_connection(stream: TcpStream, handle: &dyn Fn(&Request) -> Answer) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader) {
        let Answer::Send(status, body) = handle(&request) else {
            return;
        };
        let head = format!(
            "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Sends a request and returns the status and the body; `None` if there is no complete answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &str,
    timeout: Duration,
) -> Option<(u16, String)> {
    let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    let _ = stream.set_nodelay(true);
    let mut writer = stream.try_clone().ok()?;
    let head = format!(
        "{method} {target} HTTP/1.1\r\n{headers}content-type: application/json\r\n\
         content-length: {}\r\nconnection: close\r\n\r\n",
        body.len()
    );
    writer.write_all((head + body).as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok()?;
    let status = line.split_whitespace().nth(1)?.parse().ok()?;
    let headers = read_headers(&mut reader)?;
    let mut body = vec![0; content_length(&headers)];
    reader.read_exact(&mut body).ok()?;
    Some((status, String::from_utf8_lossy(&body).into_owned()))
}
