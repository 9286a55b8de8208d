//! Stand-in for requesters, with kept connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::record::Record;

/// Time for a new connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// How a request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ending {
    /// A complete answer.
    Answered(u16),
    /// The connection closed without a complete answer.
    Closed,
    /// The requester's deadline passed.
    GaveUp,
    /// No connection could be made.
    NotSent,
}

/// A request as its requester saw it.
#[derive(Clone, Debug)]
pub struct Sent {
    pub id: String,
    /// Whether the connection had carried another request before.
    pub kept: bool,
    pub at: Duration,
    pub ended: Duration,
    pub ending: Ending,
}

/// A requester that sends one request after the other and keeps its connection.
pub struct Requester {
    address: SocketAddr,
    record: Record,
    connection: Option<(SendRequest<Full<Bytes>>, JoinHandle<()>)>,
}

/// What to send.
pub struct Order<'a> {
    pub id: String,
    pub method: &'a str,
    pub host: &'a str,
    pub path: String,
    pub deadline: Duration,
    pub body: Bytes,
}

impl Requester {
    pub fn new(address: SocketAddr, record: &Record) -> Self {
        Self {
            address,
            record: record.clone(),
            connection: None,
        }
    }

    pub async fn send(&mut self, order: Order<'_>) -> Sent {
        let at = self.record.now();
        let size = order.body.len();
        self.record.line(format_args!(
            "requester sends {} {} {}, {size} bytes",
            order.id, order.method, order.path
        ));
        let (kept, ending) = self.exchange(&order).await;
        if !matches!(ending, Ending::Answered(_)) {
            self.connection = None;
        }
        self.record.line(format_args!(
            "requester {} ends: {ending:?}, kept {kept}",
            order.id
        ));
        Sent {
            id: order.id,
            kept,
            at,
            ended: self.record.now(),
            ending,
        }
    }

    async fn exchange(&mut self, order: &Order<'_>) -> (bool, Ending) {
        let mut kept = self.connection.take();
        if let Some((sender, _)) = &mut kept
            && sender.ready().await.is_err()
        {
            kept = None;
        }
        let was_kept = kept.is_some();
        let (mut sender, driver) = match kept {
            Some(kept) => kept,
            None => match timeout(CONNECT_TIMEOUT, connect(self.address)).await {
                Ok(Some(connection)) => connection,
                _ => return (false, Ending::NotSent),
            },
        };
        let request = Request::builder()
            .method(order.method)
            .uri(&order.path)
            .header("host", order.host)
            .header("x-request-id", &order.id)
            .header("x-request-deadline", order.deadline.as_millis().to_string())
            .body(Full::new(order.body.clone()))
            .expect("a valid request");
        let exchange = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            response.into_body().collect().await.ok()?;
            Some(status)
        };
        let ending = match timeout(order.deadline, exchange).await {
            Ok(Some(status)) => Ending::Answered(status),
            Ok(None) => Ending::Closed,
            Err(_) => {
                driver.abort();
                Ending::GaveUp
            }
        };
        self.connection = Some((sender, driver));
        (was_kept, ending)
    }
}

async fn connect(address: SocketAddr) -> Option<(SendRequest<Full<Bytes>>, JoinHandle<()>)> {
    let socket = TcpStream::connect(address).await.ok()?;
    let _ = socket.set_nodelay(true);
    let (sender, connection) = http1::handshake(TokioIo::new(socket)).await.ok()?;
    let driver = tokio::spawn(async move { drop(connection.await) });
    Some((sender, driver))
}

/// Sends one request on a new connection; returns the status of a complete answer.
pub async fn send_once(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<u16> {
    let (mut sender, _driver) = connect(address).await?;
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header("host", address.to_string())
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body.to_owned())))
        .expect("a valid request");
    let response = sender.send_request(request).await.ok()?;
    let status = response.status().as_u16();
    response.into_body().collect().await.ok()?;
    Some(status)
}
