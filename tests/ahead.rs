//! Guards the decisions on pipelined requests, without a network: which heads may start ahead, where
//! a head ends, and the bounds.

use std::{cell::Cell, future::pending, rc::Rc};

use bytes::Bytes;
use comfreybay::transport::pipeline::{
    BytesHeld, CONN_WAITING_MAX_BYTES, NODE_WAITING_MAX_BYTES, REQUESTS_MAX, UNREAD_MAX_BYTES,
    head::{Extent, Head, HeadScan, keeps_connection, read},
    queue::{Next, Queue},
};
use http::{HeaderMap, HeaderValue, Response, Version, header::CONNECTION};
use http_body_util::Full;
use proptest::{collection::vec, prop_assert_eq, proptest};

fn head(method: &str, target: &str, lines: &str) -> String {
    format!("{method} {target} HTTP/1.1\r\nhost: h\r\n{lines}\r\n")
}

fn is_complete(head: &str) -> bool {
    matches!(read(head.as_bytes()), Head::Complete(_, length) if length == head.len())
}

/// Guards against ordinary requests that are not started ahead.
#[test]
fn plain_heads_may_start() {
    for method in ["GET", "HEAD", "OPTIONS", "PUT", "DELETE"] {
        assert!(is_complete(&head(method, "/a?b=c", "")), "{method}");
    }
    for lines in [
        "connection: keep-alive\r\n",
        "Connection: Keep-Alive\r\n",
        "content-length: 0\r\n",
        "x-a: é\r\nx-a: b\r\nx-empty:\r\n",
    ] {
        assert!(is_complete(&head("GET", "/", lines)), "{lines}");
    }
}

/// Guards against requests that are started ahead although they have a body, change the connection,
/// may not run twice, or may be read in two ways.
#[test]
fn other_heads_wait_for_their_turn() {
    let lines = [
        "content-length: 1\r\n",
        "content-length: 00\r\n",
        "content-length: +0\r\n",
        "content-length: 0\r\ncontent-length: 0\r\n",
        "transfer-encoding: chunked\r\n",
        "transfer-encoding: identity\r\ncontent-length: 0\r\n",
        "trailer: x\r\n",
        "expect: 100-continue\r\n",
        "upgrade: h2c\r\n",
        "connection: close\r\n",
        "connection: keep-alive, close\r\n",
        "connection: keep-alive\r\nconnection: close\r\n",
        "connection: x-a\r\n",
        "x-folded: a\r\n b\r\n",
        "x-bare: a\nx-b: b\r\n",
        "x-space : a\r\n",
        "x-no-colon\r\n",
        "x-nul: \0\r\n",
    ];
    let many: String = (0..100).map(|n| format!("x-{n}: a\r\n")).collect();
    let mut heads: Vec<_> = lines.iter().map(|l| head("GET", "/", l)).collect();
    heads.extend([
        head("GET", "/", &many),
        head("POST", "/", ""),
        head("PATCH", "/", ""),
        head("TRACE", "/", ""),
        head("CONNECT", "h:1", ""),
        head("get", "/", ""),
        head("GET", "http://h/", ""),
        head("OPTIONS", "*", ""),
        head("GET", "/ /", ""),
        "\r\n".to_owned() + &head("GET", "/", ""),
        head("GET", "/", "").replace("1.1", "1.0"),
        head("GET", "/", "").replace("1.1", "2.0"),
    ]);
    for head in heads {
        assert!(matches!(read(head.as_bytes()), Head::Opaque), "{head}");
    }
}

/// Guards against requests that start behind one after which the connection ends.
#[test]
fn closing_heads_are_recognised() {
    let mut headers = HeaderMap::new();
    assert!(keeps_connection(Version::HTTP_11, &headers));
    assert!(!keeps_connection(Version::HTTP_10, &headers));
    headers.append(CONNECTION, HeaderValue::from_static("Keep-Alive"));
    assert!(keeps_connection(Version::HTTP_11, &headers));
    headers.append(CONNECTION, HeaderValue::from_static("close"));
    assert!(!keeps_connection(Version::HTTP_11, &headers));
}

/// Guards against waiting answers beyond the bound of one connection or of the node.
#[test]
fn bytes_of_waiting_answers_are_bounded() {
    let none = BytesHeld::default();
    assert!(BytesHeld::may_add(none, none, CONN_WAITING_MAX_BYTES));
    assert!(!BytesHeld::may_add(none, none, CONN_WAITING_MAX_BYTES + 1));
    let node = BytesHeld(NODE_WAITING_MAX_BYTES);
    assert!(!BytesHeld::may_add(none, node, 1));
}

type Waiting = std::future::Pending<Response<Full<Bytes>>>;

fn start_all(queue: &mut Queue<Waiting, Full<Bytes>>, node: &Rc<Cell<BytesHeld>>) -> usize {
    let mut count = 0;
    while let Next::Startable(head, length) = queue.next(node, |_| true, || ()) {
        queue.start(&head, length, pending(), node);
        count += 1;
    }
    count
}

/// Guards against a connection that starts more requests than the bound, or keeps their reserved
/// bytes after its end.
#[test]
fn queue_starts_up_to_the_bound() {
    let (mut queue, node) = (Queue::default(), Rc::new(Cell::new(BytesHeld::default())));
    queue.push(head("GET", "/", "").repeat(REQUESTS_MAX + 9).as_bytes());
    assert_eq!(start_all(&mut queue, &node), REQUESTS_MAX - 1);
    assert!(node.get() <= BytesHeld(CONN_WAITING_MAX_BYTES));
    drop(queue);
    assert_eq!(node.get(), BytesHeld::default());
}

/// Guards against connections that together fill the memory of the node.
#[test]
fn node_has_one_bound_for_all_connections() {
    let node = Rc::new(Cell::new(BytesHeld::default()));
    let mut queues: Vec<_> = (0..100).map(|_| Queue::default()).collect();
    for queue in &mut queues {
        queue.push(head("GET", "/", "").repeat(REQUESTS_MAX).as_bytes());
        start_all(queue, &node);
    }
    assert!(node.get() <= BytesHeld(NODE_WAITING_MAX_BYTES));
}

/// Guards against a request that overtakes one which has to wait for its turn, and against one that
/// is counted more than once.
#[test]
fn nothing_starts_behind_a_held_request() {
    let (mut queue, node) = (Queue::default(), Rc::new(Cell::new(BytesHeld::default())));
    let all = [
        head("GET", "/1", ""),
        head("POST", "/2", ""),
        head("GET", "/3", ""),
    ];
    queue.push(all.concat().as_bytes());
    assert_eq!(start_all(&mut queue, &node), 1);
    let counted = Cell::new(0);
    for _ in 0..3 {
        queue.next(&node, |_| true, || counted.set(counted.get() + 1));
    }
    assert_eq!(counted.get(), 0);
    queue.push(&vec![b'x'; UNREAD_MAX_BYTES]);
    assert!(queue.is_full());
}

proptest! {
    /// Guards against a head that is taken for whole before its end has arrived.
    #[test]
    fn part_of_a_head_is_partial(size in 0..40_usize) {
        let head = head("GET", "/a/long/enough/target", "");
        prop_assert_eq!(matches!(read(&head.as_bytes()[..size]), Head::Partial), true);
    }

    /// Guards against an end of a head that is missed or invented where reads split it.
    #[test]
    fn end_is_found_however_the_bytes_are_split(
        text in vec(proptest::sample::select(b"\r\na".to_vec()), 0..24),
        sizes in vec(1..5_usize, 1..24),
    ) {
        // The first empty line behind one that is not.
        let (mut expected, mut at, mut lines) = (Extent::Partial, 0, 0);
        for line in text.split_inclusive(|byte| *byte == b'\n') {
            at += line.len();
            if matches!(line, b"\n" | b"\r\n") && lines > 0 {
                expected = Extent::Complete { bytes: at, fields: lines - 1 };
                break;
            }
            lines += usize::from(!matches!(line, b"\n" | b"\r\n"));
        }
        let (mut scan, mut at, mut found) = (HeadScan::default(), 0, Extent::Partial);
        for size in sizes.iter().cycle() {
            if at == text.len() || found != Extent::Partial {
                break;
            }
            at = text.len().min(at + size);
            found = scan.scan(&text[..at]);
        }
        prop_assert_eq!(found, expected);
    }
}
