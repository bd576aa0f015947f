//! Removes hop-by-hop headers from requests and answers, which a proxy must not forward.

use http::HeaderMap;
use http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, PROXY_AUTHENTICATE, PROXY_AUTHORIZATION, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};

const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// The hop-by-hop headers for which the HTTP library has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Returns the end-to-end headers. The content length is removed too, because it is set again from the body.
pub fn end_to_end(mut headers: HeaderMap) -> HeaderMap {
    if headers.contains_key(CONNECTION) {
        for name in named_by_connection(&headers) {
            headers.remove(name);
        }
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
    headers
}

fn named_by_connection(headers: &HeaderMap) -> Vec<String> {
    let values = headers.get_all(CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.map(|name| name.trim().to_ascii_lowercase()).collect()
}
