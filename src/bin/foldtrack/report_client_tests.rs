//! Tests of the report client: on a silent connection, on a kept connection, and when discovery moves to another
//! address.

use super::*;
use std::task::{Context, Waker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A report with one notice.
fn report(number: u64) -> Report {
    Report { lines: format!("notice {number}\n"), numbers: vec![number] }
}

/// Acknowledges the report of each connection that is made.
async fn acknowledge_all(listener: &TcpListener) {
    let mut connections = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(ACKNOWLEDGED).await;
        connections.push(stream);
    }
}

const ACKNOWLEDGED: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const TIMEOUT: Duration = Duration::from_secs(10);

/// Guards against notices that come too late because the first connection is silent: the report has to go out again
/// on another connection after a short timeout.
#[tokio::test]
async fn a_report_without_a_response_is_sent_again_on_a_new_connection() {
    let (listener, address) = listen().await;
    let (_discovery, address_receiver) = watch::channel(address);
    let mut reports = ReportClient::new(address_receiver);
    reports.send(report(7));
    let discovery_server = async {
        let _silent = listener.accept().await.unwrap();
        acknowledge_all(&listener).await;
    };
    let acknowledged = tokio::select! {
        acknowledged = timeout(TIMEOUT, reports.next_end()) => acknowledged,
        () = discovery_server => unreachable!(),
    };
    assert_eq!(acknowledged, Ok(ReportEnd::Acknowledged(vec![7])));
}

/// With little CPU time, each handoff from task to task waits for a turn of all ready tasks, which made notices late.
/// A report on a kept connection is written, and its response read, within one poll.
#[tokio::test]
async fn a_report_on_a_kept_connection_needs_no_other_task() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (_discovery, address_receiver) = watch::channel(listener.local_addr().unwrap());
    let mut reports = ReportClient::new(address_receiver);
    let address = listener.local_addr().unwrap();
    *lock_idle_connection(&reports.idle_connection) =
        Some((address, ReportConnection::open(address).await.unwrap()));
    let mut discovery_server = listener.accept().unwrap().0;
    discovery_server.set_read_timeout(Some(TIMEOUT)).unwrap();
    for number in [1, 2] {
        reports.send(report(number));
        // One poll is enough: no other task runs before the discovery server reads the report.
        assert!(pin!(reports.next_end()).poll(&mut Context::from_waker(Waker::noop())).is_pending());
        let mut received = [0; 1024];
        let n = std::io::Read::read(&mut discovery_server, &mut received).expect("a report");
        assert!(String::from_utf8_lossy(&received[..n]).contains(&format!("notice {number}")));
        std::io::Write::write_all(&mut discovery_server, ACKNOWLEDGED).unwrap();
        assert_eq!(timeout(TIMEOUT, reports.next_end()).await, Ok(ReportEnd::Acknowledged(vec![number])));
    }
}

/// Discovery closes the old address 1.5 s after it has moved. Guards against a report that waits for its response
/// timeout there: it must go to the new address with the next poll.
#[tokio::test]
async fn unacknowledged_reports_go_to_a_new_address_at_once() {
    let ((_old, old_address), new) = (listen().await, std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let (discovery, address_receiver) = watch::channel(old_address);
    let mut reports = ReportClient::new(address_receiver);
    reports.send(report(7));
    let mut poll_once =
        || pin!(reports.next_end()).poll(&mut Context::from_waker(Waker::noop())).is_pending();
    assert!(poll_once());
    discovery.send_replace(new.local_addr().unwrap());
    assert!(poll_once());
    new.set_nonblocking(true).unwrap();
    new.accept().expect("a connection to the new address");
}

/// Guards against a second copy of an acknowledgement that is taken for that of the next report, whose notices then
/// never arrived.
#[tokio::test]
async fn a_second_copy_of_an_acknowledgement_counts_for_no_other_report() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (_discovery, address_receiver) = watch::channel(address);
    let mut reports = ReportClient::new(address_receiver);
    *lock_idle_connection(&reports.idle_connection) =
        Some((address, ReportConnection::open(address).await.unwrap()));
    let mut silent_server = listener.accept().unwrap().0;
    listener.set_nonblocking(true).unwrap();
    let listener = TcpListener::from_std(listener).unwrap();
    // The copy has arrived, and the runtime has not noticed it yet.
    std::io::Write::write_all(&mut silent_server, ACKNOWLEDGED).unwrap();
    reports.send(report(7));
    let accepted = async {
        tokio::select! {
            _ = reports.next_end() => panic!("acknowledged by the second copy"),
            accepted = listener.accept() => accepted.unwrap().0,
        }
    };
    let _new_connection = timeout(TIMEOUT, accepted).await.expect("the report goes to a new connection");
}
