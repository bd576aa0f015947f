use kingcuploft::entry::answer_identity::is_own_answer;

/// Guards against an answer to a health check, which has no id, or to another request that counts as a request's own.
#[test]
fn a_request_with_an_id_owns_only_answers_with_that_id() {
    for id in [&b"a"[..], "é".as_bytes(), b"a\xFF"] {
        assert!(is_own_answer(Some(id), Some(id)));
        let others = [
            &b""[..],
            b"b",
            b"A",
            b"a ",
            b"\xFF",
            b"a\xFE",
            "\u{fffd}".as_bytes(),
        ];
        for echoed_id in others.map(Some).into_iter().chain([None]) {
            assert!(!is_own_answer(Some(id), echoed_id), "{echoed_id:?}");
        }
    }
}

/// Guards against the answer to a request that counts as the answer to a health check.
#[test]
fn a_request_without_an_id_owns_only_answers_without_one() {
    for request_id in [None, Some(&b""[..])] {
        assert!(is_own_answer(request_id, None));
        assert!(is_own_answer(request_id, Some(b"")));
        assert!(!is_own_answer(request_id, Some(b"a")));
    }
}
