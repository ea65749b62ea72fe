//! Reads the request that submits a message: its class, headers and body.

use crate::body_memory::BodyReservation;
use crate::client_server::ServerContext;
use crate::http_body::{read_to_end, BodyError};
use crate::message::Message;
use hatchline::{Micros, RetrySafety};
use hyper::body::{Body, Incoming};
use hyper::header::CONTENT_LENGTH;
use hyper::{Method, Request, StatusCode};
use std::time::Duration;
use tokio::time::timeout;

const MAX_BODY_BYTES: usize = 64 * 1024;
/// The endpoint list numbers destinations in 16 bits: a message for a higher number could never be sent.
const MAX_DESTINATION: f64 = u16::MAX as f64;
/// A client that does not finish its request within this time is taken to have disconnected: it waits only
/// 400 ms for its response.
pub(crate) const BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// A message that a client has sent, and the memory of its body until the node has it.
pub(crate) struct ReceivedMessage {
    pub message: Message,
    pub reservation: BodyReservation,
}

/// Reads a request into a message, or returns the status of the response that refuses it.
pub(crate) async fn read_message(
    request: Request<Incoming>, context: &ServerContext, queue_time: Duration,
) -> Result<ReceivedMessage, StatusCode> {
    const BAD_REQUEST: StatusCode = StatusCode::BAD_REQUEST;
    // The client's time counts from when it sent the request: the arrival of the body and the wait to be read
    // are part of it.
    let sent_at = context
        .clock
        .now()
        .saturating_sub((queue_time + context.overload.event_loop_lag()).as_micros() as Micros);
    let path = request.uri().path().strip_prefix('/').unwrap_or_default();
    let (class_name, order_key) = path.split_once('/').unwrap_or((path, ""));
    let known = context.settings.class_names.iter().position(|n| n == class_name);
    let class = known.ok_or(StatusCode::NOT_FOUND)?;
    if request.method() != Method::POST {
        return Err(StatusCode::METHOD_NOT_ALLOWED);
    }
    let class_settings = &context.settings.settings.classes[class];
    // Only classes with ordered delivery take a key in the path, and none takes a query: a peer that sends
    // one is not a valid client.
    if !(class_settings.in_order || order_key.is_empty()) || request.uri().query().is_some() {
        return Err(StatusCode::NOT_FOUND);
    }
    let order_key = order_key.rsplit('/').next().unwrap_or("").to_string();
    let header = |name: &str| -> Result<Option<String>, StatusCode> {
        let Some(value) = request.headers().get(name) else { return Ok(None) };
        Ok(Some(value.to_str().map_err(|_| BAD_REQUEST)?.trim().to_string()))
    };
    let id = header("X-Request-Id")?.filter(|id| !id.is_empty()).ok_or(BAD_REQUEST)?;
    let time_left = header("X-Deadline")?.and_then(|t| parse_duration(&t)).ok_or(BAD_REQUEST)?;
    let destination = header("X-Consignee")?.and_then(|t| parse_destination(&t)).ok_or(BAD_REQUEST)?;
    let idempotency_key = header("Idempotency-Key")?;
    if class_settings.retry_safety == RetrySafety::Keyed && idempotency_key.is_none() {
        return Err(BAD_REQUEST);
    }
    let retry_header = header("X-Retry")?;
    // The length of the body must be unambiguous, or what a peer appends to it could pass for another
    // request.
    if !request.headers().contains_key(CONTENT_LENGTH) {
        return Err(StatusCode::LENGTH_REQUIRED);
    }
    if request.body().size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut reservation = context.body_memory.begin_body();
    let body = read_to_end(request.into_body(), MAX_BODY_BYTES, &mut reservation);
    let body = timeout(BODY_TIMEOUT, body).await;
    let body = body.map_err(|_| StatusCode::REQUEST_TIMEOUT)?.map_err(|error| match error {
        BodyError::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Interrupted => BAD_REQUEST,
        BodyError::OutOfMemory => StatusCode::SERVICE_UNAVAILABLE,
    })?;
    reservation.complete();
    let expires_at = sent_at.checked_add(time_left).ok_or(BAD_REQUEST)?;
    let message =
        Message { id, class, destination, order_key, idempotency_key, retry_header, expires_at, body };
    Ok(ReceivedMessage { message, reservation })
}

/// Parses a duration of a number and a unit: `480m` for milliseconds, `900u` for microseconds.
fn parse_duration(text: &str) -> Option<Micros> {
    let (number, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
    let micros_per_unit = match unit {
        "m" => 1000.0,
        "u" => 1.0,
        _ => return None,
    };
    let duration = number.parse::<f64>().ok()? * micros_per_unit;
    (0.0..1e15).contains(&duration).then_some(duration as Micros)
}

/// Parses the destination number from a list of pairs such as `dest=7`.
fn parse_destination(text: &str) -> Option<u32> {
    let mut pairs = text.split(',').filter_map(|pair| pair.split_once('='));
    let number = pairs.find(|(name, _)| name.trim() == "dest")?.1.trim().parse::<f64>().ok()?;
    (number.fract() == 0.0 && (0.0..=MAX_DESTINATION).contains(&number)).then_some(number as u32)
}
