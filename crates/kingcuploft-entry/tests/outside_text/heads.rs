//! Texts in the heads of requests.

use std::panic::{AssertUnwindSafe, catch_unwind};

use kingcuploft::world::wire_text::{HeaderText, MAX_WIRE_TEXT_BYTES, RequestPath};
use kingcuploft_entry::http::head::{parse_request, parse_response};
use kingcuploft_entry::http::headers::write_header;

use kingcuploft_entry::relay::wire::{self, RELAY_HEADER, RelayedAnswer, RelayedRequest};

use crate::drawn::{check, text};

/// The headers of each request here, beside the one with the drawn text.
const OTHER_HEADERS: usize = 2;

/// Guards against a name that ends its header and begins another, or a request.
#[test]
fn a_header_holds_a_text_as_it_is_or_the_text_is_refused() {
    check("header", |u| {
        let drawn = text(u)?;
        let Ok(value) = HeaderText::parse(&drawn) else {
            return Ok(());
        };
        assert!(drawn.len() <= MAX_WIRE_TEXT_BYTES);
        let mut bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n".to_vec();
        write_header(&mut bytes, "x-meant-for", value.as_str().as_bytes());
        write_header(&mut bytes, "x-last", b"1");
        bytes.extend(b"\r\n");
        let (head, length) = parse_request(&bytes).unwrap().expect("a whole head");
        assert_eq!(length, bytes.len());
        let headers = head.headers;
        let received: Vec<_> = headers.get_all("x-meant-for").collect();
        assert_eq!(received, [drawn.as_bytes()]);
        assert_eq!(headers.end_to_end().count(), OTHER_HEADERS + 1);
        Ok(())
    });
}

/// Guards against sound names that no request can be meant for.
#[test]
fn a_header_holds_every_visible_name() {
    let names = [
        "i-7f3a91c2",
        "s0",
        "a b",
        "a\tb",
        "a:b,c;d",
        "\"quoted\\\"",
        "%41",
        "é",
        "🦀",
    ];
    for name in names {
        assert!(HeaderText::parse(name).is_ok(), "{name}");
    }
}

/// Guards against a path that ends its request line and begins a header, or a request.
#[test]
fn a_request_line_holds_a_path_as_it_is_or_the_path_is_refused() {
    check("path", |u| {
        let drawn = format!("/{}", text(u)?);
        let Ok(path) = RequestPath::parse(&drawn) else {
            return Ok(());
        };
        let bytes = format!("GET {} HTTP/1.1\r\nHost: h\r\n\r\n", path.as_str());
        let (head, length) = parse_request(bytes.as_bytes())
            .unwrap()
            .expect("a whole head");
        assert_eq!((&*head.target, length), (&*drawn, bytes.len()));
        assert_eq!(head.headers.end_to_end().count(), 1);
        Ok(())
    });
}

/// Guards against a relayed request that the other VM can't read, as the name of its service can't stand in a header.
#[test]
fn what_vms_tell_each_other_of_a_relayed_request_holds_any_name() {
    check("relay", |u| {
        let request = RelayedRequest {
            service: text(u)?.into(),
            configuration: 1,
            waited_ms: 0,
            is_caller_retry: false,
            attempts: 2,
            workspace: Some(text(u)?.into()),
        };
        let answer = RelayedAnswer {
            server: Some(text(u)?.into()),
            arrived: 1,
            ran: 1,
        };
        let mut bytes = b"GET /a HTTP/1.1\r\nHost: h\r\n".to_vec();
        write_header(&mut bytes, RELAY_HEADER, &wire::encode(&request));
        bytes.extend(b"\r\n");
        let (head, _) = parse_request(&bytes).unwrap().expect("a whole head");
        assert_eq!(wire::decode(&head.headers), Some(request));
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        write_header(&mut bytes, RELAY_HEADER, &wire::encode(&answer));
        bytes.extend(b"\r\n");
        let (head, _) = parse_response(&bytes, "GET")
            .unwrap()
            .expect("a whole head");
        assert_eq!(wire::decode(&head.headers), Some(answer));
        Ok(())
    });
}

/// Guards against a header that ends early whatever is written into it.
#[test]
fn a_value_that_no_header_can_hold_is_not_written() {
    for value in [&b"a\r\nx-evil: 1"[..], b"\n", b"a\0", b"\x7f"] {
        let mut head = Vec::new();
        let written = catch_unwind(AssertUnwindSafe(|| write_header(&mut head, "x", value)));
        assert_eq!(written.is_err(), cfg!(debug_assertions));
        assert_eq!(head, b"");
    }
}

/// Guards against bytes of a caller that make one request into two, or one header into two, on the way to a server.
#[test]
fn a_head_that_was_parsed_is_written_as_one_with_the_same_headers() {
    check("forwarded", |u| {
        let mut received = format!("GET /{} HTTP/1.1\r\nHost: h\r\n", text(u)?).into_bytes();
        for _ in 0..u.int_in_range(0..=3)? {
            received.extend(text(u)?.bytes());
            received.extend(u.choose(&[": ", ":", " : ", "\r\n "])?.bytes());
            received.extend(u.arbitrary::<&[u8]>()?);
            received.extend(text(u)?.bytes());
            received.extend(b"\r\n");
        }
        received.extend(b"\r\n");
        let Ok(Some((head, _))) = parse_request(&received) else {
            return Ok(());
        };
        let mut sent = format!("GET {} HTTP/1.1\r\n", head.target).into_bytes();
        for (name, value) in head.headers.end_to_end() {
            write_header(&mut sent, name, value);
        }
        sent.extend(b"\r\n");
        let (again, length) = parse_request(&sent).unwrap().expect("a whole head");
        assert_eq!((length, &again.target), (sent.len(), &head.target));
        let before: Vec<_> = head.headers.end_to_end().collect();
        let after: Vec<_> = again.headers.end_to_end().collect();
        assert_eq!(before, after);
        Ok(())
    });
}
