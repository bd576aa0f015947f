//! Texts in calls to the store, and in messages between VMs.

use std::time::Duration;

use kingcuploft::entry::backend_servers::BackendServer;
use kingcuploft::entry::server_table::ServerTable;
use kingcuploft_entry::http::head::parse_request;
use kingcuploft_entry::http::target::Target;
use kingcuploft_entry::peers::frame::Frame;
use kingcuploft_entry::peers::peer_socket::PeerMessage;

use crate::drawn::{check, text};

fn decoded(text: &str) -> Vec<u8> {
    percent_encoding::percent_decode_str(text).collect()
}

/// Guards against a call about another object, with another parameter, or more than one call.
#[test]
fn a_target_holds_any_text_in_one_segment_and_one_value() {
    check("target", |u| {
        let (name, key, value) = (text(u)?, text(u)?, text(u)?);
        let bytes: Vec<u8> = u.arbitrary()?;
        let target = Target::of_path(["objects", &name]);
        let target = target.with_parameter(&key, &value);
        let target = target.with_bytes("after", &bytes);
        let head = format!("GET {target} HTTP/1.1\r\nHost: h\r\n\r\n");
        let (head, length) = parse_request(head.as_bytes())
            .unwrap()
            .expect("a whole head");
        assert_eq!(
            length,
            "GET  HTTP/1.1\r\nHost: h\r\n\r\n".len() + head.target.len()
        );
        let (path, query) = head.target.split_once('?').unwrap();
        let segments: Vec<_> = path.split('/').map(decoded).collect();
        assert_eq!(segments, [b"", &b"objects"[..], name.as_bytes()]);
        let pairs: Vec<_> = query.split('&').collect();
        let pairs = pairs.iter().map(|pair| pair.split_once('=').unwrap());
        let pairs: Vec<_> = pairs
            .map(|(key, value)| [decoded(key), decoded(value)])
            .collect();
        let wanted = [
            [key.into_bytes(), value.into_bytes()],
            [b"after".to_vec(), bytes],
        ];
        assert_eq!(pairs, wanted);
        Ok(())
    });
}

/// Guards against a name that ends its line on a link, so that the VM behind it gets another frame.
#[test]
fn a_frame_is_one_line_and_holds_any_name() {
    check("frames", |u| {
        let server = BackendServer {
            name: text(u)?.into(),
            service: text(u)?.into(),
            address: ([127, 0, 0, 1], 1).into(),
            zone: text(u)?.into(),
            slots: 2,
            draining: false,
            cold_for: Duration::ZERO,
            started_at: None,
        };
        let table = ServerTable::from_servers([&server].into_iter());
        for frame in [Frame::Server(server.clone()), Frame::Servers(table)] {
            let line = frame.to_line();
            let end = line.iter().position(|byte| *byte == b'\n');
            assert_eq!(end, Some(line.len() - 1));
            let received = match serde_json::from_slice(&line).unwrap() {
                Frame::Server(server) => server,
                Frame::Servers(table) => table.servers().unwrap().remove(0),
                other => panic!("{other:?}"),
            };
            assert_eq!(received, server);
        }
        Ok(())
    });
}

/// Guards against a datagram about another server.
#[test]
fn a_datagram_holds_any_name() {
    check("datagrams", |u| {
        let name = text(u)?;
        let server = name.as_str().into();
        let sent = serde_json::to_vec(&PeerMessage::RequestSent { server }).unwrap();
        let received = serde_json::from_slice(&sent).unwrap();
        let PeerMessage::RequestSent { server } = received else {
            panic!("{received:?}");
        };
        assert_eq!(*server, *name);
        Ok(())
    });
}
