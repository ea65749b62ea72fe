//! ReportClient on connections that are silent, kept, or to an address that discovery has left.

use super::*;
use std::task::{Context, Waker};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Takes the notices of each connection that comes.
async fn take_all(listener: &TcpListener) {
    let mut kept = Vec::new();
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let _ = stream.write_all(TAKEN).await;
        kept.push(stream);
    }
}

const TAKEN: &[u8] = b"HTTP/1.1 204 No Content\r\n\r\n";
const LONG: Duration = Duration::from_secs(10);

/// One report takes more than one connection, though the first says nothing: a notice that came only after a
/// longer wait would be too late.
#[tokio::test]
async fn notices_on_a_silent_connection_go_again_on_another() {
    let (listener, address) = listen().await;
    let (_discovery, seen) = watch::channel(address);
    let mut reports = ReportClient::new(seen);
    reports.send("{}\n".into(), vec![7]);
    let agent = async {
        let _silent = listener.accept().await.unwrap();
        take_all(&listener).await;
    };
    let taken = tokio::select! {
        taken = timeout(LONG, reports.acknowledged()) => taken,
        () = agent => unreachable!(),
    };
    assert_eq!(taken, Ok(vec![7]));
}

/// scrape+rate+leave with little processor time: each hand from task to task waited for a turn of all that was ready.
#[tokio::test]
async fn a_notice_on_a_kept_connection_is_written_and_its_answer_read_without_another_task() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let (_discovery, seen) = watch::channel(listener.local_addr().unwrap());
    let mut reports = ReportClient::new(seen);
    let address = listener.local_addr().unwrap();
    *kept(&reports.kept) = Some((address, ReportConnection::open(address).await.unwrap()));
    let mut agent = listener.accept().unwrap().0;
    agent.set_read_timeout(Some(LONG)).unwrap();
    for number in [1, 2] {
        reports.send(format!("notice {number}\n"), vec![number]);
        // One look is all it takes: nothing else runs before the agent reads it.
        assert!(pin!(reports.acknowledged()).poll(&mut Context::from_waker(Waker::noop())).is_pending());
        let mut heard = [0; 1024];
        let n = std::io::Read::read(&mut agent, &mut heard).expect("a notice");
        assert!(String::from_utf8_lossy(&heard[..n]).contains(&format!("notice {number}")));
        std::io::Write::write_all(&mut agent, TAKEN).unwrap();
        assert_eq!(timeout(LONG, reports.acknowledged()).await, Ok(vec![number]));
    }
}

/// By the terms the old address is closed 1.5 s after discovery has moved: notices that it has not taken go to the
/// new one at the next look, not after its time for an answer.
#[tokio::test]
async fn notices_that_an_old_address_has_not_taken_go_to_the_new_one_at_once() {
    let ((_old, old_address), new) = (listen().await, std::net::TcpListener::bind("127.0.0.1:0").unwrap());
    let (discovery, seen) = watch::channel(old_address);
    let mut reports = ReportClient::new(seen);
    reports.send("{}\n".into(), vec![7]);
    let mut look = || pin!(reports.acknowledged()).poll(&mut Context::from_waker(Waker::noop())).is_pending();
    assert!(look());
    discovery.send_replace(new.local_addr().unwrap());
    assert!(look());
    new.set_nonblocking(true).unwrap();
    new.accept().expect("a connection to the new address");
}
