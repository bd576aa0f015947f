//! The inspector of raw request heads.

use kingcuploftd::caller_edge::inspector::{Inspector, Verdict};

/// Guards against verdicts that depend on how the bytes are split into reads, and against bytes that cause a panic.
#[test]
fn verdicts_do_not_depend_on_how_bytes_are_split() {
    /// The bytes that each seed draws from; `arbtest` takes them from the seed's lower half.
    const BYTES: u64 = 256;
    const PIECES: &[&str] = &[
        "GET / HTTP/1.1\r\n",
        "host: a\r\n",
        "Host:b\r\n",
        "content-length: 3\r\n",
        "content-length: 99999999999999999999\r\n",
        "transfer-encoding: chunked\r\n",
        "\r\n",
        "\n",
        "abc",
        "3\r\nabc\r\n",
        "0\r\n\r\n",
        "ffffffffffffffff\r\n",
        ": x\r\n",
    ];
    for seed in 0..400u64 {
        arbtest::arbtest(|u| {
            let mut bytes = Vec::new();
            for _ in 0..u.int_in_range(0..=20)? {
                bytes.extend_from_slice(u.choose(PIECES)?.as_bytes());
            }
            let verdicts = |chunk: usize| {
                let mut inspector = Inspector::new(200);
                bytes
                    .chunks(chunk)
                    .for_each(|chunk| inspector.process(chunk));
                let verdicts: Vec<Verdict> = (0..25).map(|_| inspector.next_verdict()).collect();
                verdicts
            };
            let whole = verdicts(usize::MAX);
            for chunk in [1, 2, 7] {
                assert_eq!(verdicts(chunk), whole);
            }
            Ok(())
        })
        .seed((seed << 32) | BYTES)
        .run();
    }
}
