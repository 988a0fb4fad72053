"""Tests of the soak's checks: each finds its breach, and nothing else."""

from eelgrasshall.platform import fake_server
from eelgrasshall.platform import soak_checks


def _arrive(at_s: float, request_id: str, server: str = "s-0"):
    return soak_checks.Arrival(at_s, request_id, "s", server)


def _try(sent_s: float, request_id: str, host: str = "h0"):
    return soak_checks.Try(request_id, host, sent_s, ("s",))


def _find_excess(arrivals, tries):
    return soak_checks.find_excess(
        arrivals, tries, ratio=0.2, fixed=5.0, window_s=10.0
    )


def test_extra_attempts_beyond_the_bound_are_found():
    tries = [_try(number / 10, f"q{number}") for number in range(50)]
    first = [_arrive(number / 10, f"q{number}") for number in range(50)]
    extra = [_arrive(6.0 + number / 10, f"q{number}") for number in range(15)]
    assert not _find_excess([*first, *extra], tries)
    extra.append(_arrive(8.0, "q0"))
    assert _find_excess([*first, *extra], tries) == ["s: 16 of 15"]


def test_extra_attempts_of_another_window_do_not_count():
    extra = [_arrive(0.0, "q")] + [_arrive(float(at), "q") for at in range(5)]
    extra += [_arrive(20.0 + at, "q") for at in range(5)]
    assert not _find_excess(extra, [])


def test_tries_of_the_window_before_count():
    tries = [_try(1.0, f"q{number}") for number in range(50)]
    arrivals = [_arrive(1.0, "q0")] + [
        _arrive(11.5, f"q{number % 2}") for number in range(16)
    ]
    assert not _find_excess(arrivals, tries)


def _list_late(count: int, disturbances=None) -> list[str]:
    """Returns the late ones of tries that crash a server each second."""
    return soak_checks.list_late_tries(
        [_try(float(number), f"q{number}") for number in range(10)],
        [
            fake_server.Crash(f"s{number}", number + 0.1, b"/x", f"q{number}")
            for number in range(count)
        ],
        disturbances or {},
        target=b"/x",
        allowed_crashes=3,
        notice_s=4.0,
    )


def test_tries_that_crash_servers_after_the_third_crash_are_found():
    assert _list_late(10) == ["q7", "q8", "q9"]
    assert not _list_late(7)


def test_crash_that_an_ended_host_may_not_have_told_of_does_not_count():
    assert _list_late(10, {"h0": [2.5]}) == []
    assert _list_late(10, {"h1": [2.5]}) == ["q7", "q8", "q9"]


def test_host_that_was_just_started_may_not_have_been_told():
    assert _list_late(10, {"h0": [8.5]}) == ["q7", "q8"]


def _find_ignored(turns, excused=None):
    return soak_checks.find_ignored_pauses(
        turns, excused or {}, allowed=2, notice_s=0.5
    )


def test_requests_in_a_pause_that_was_asked_for_are_found():
    turns = [soak_checks.Turn(1.0 + at, "h0", 3.0) for at in (0, 0.6, 0.7, 0.8)]
    assert _find_ignored(turns) == ["h0: 3"]
    assert not _find_ignored(turns[:3])
    # The other host was not told, or was restarted meanwhile.
    other = [turns[0], *(each._replace(host="h1") for each in turns[1:])]
    assert not _find_ignored(other)
    assert not _find_ignored(turns, {"h0": [1.5]})
    assert _find_ignored(turns, {"h0": [0.5], "h1": [1.5]}) == ["h0: 3"]


def test_requests_before_a_host_has_taken_notice_are_allowed():
    turns = [soak_checks.Turn(1.0 + at / 100, "h0", 3.0) for at in range(45)]
    assert not _find_ignored(turns)


def _find_unserved(
    *, cut_served: int, other_served: int, count: int = 40, excused=None
):
    """Checks tries at each of two hosts, sent in 4 s of a cut of one."""
    counts = {"cut": cut_served, "other": other_served}
    tries = [
        _try(14.0 + 4 * number / count, f"{host}{number}", host)
        for host in counts
        for number in range(count)
    ]
    served = {
        f"{host}{number}": number < host_served
        for host, host_served in counts.items()
        for number in range(count)
    }
    # These come before the bounds hold, and after the cut.
    for at_s in (13.9, 18.0):
        tries += [_try(at_s, f"{at_s}", "cut")] * 40
        served[f"{at_s}"] = False
    return soak_checks.find_unserved(
        tries,
        served,
        [soak_checks.HostCut(frozenset(("cut",)), 10.0, 18.0)],
        excused or {},
        contact_s=4.0,
    )


def test_callers_of_cut_hosts_that_are_not_served_are_found():
    assert not _find_unserved(cut_served=27, other_served=40)
    assert _find_unserved(cut_served=26, other_served=40) == [
        "26 of 40 at ['cut'], 40 of 40 at the others"
    ]
    assert not _find_unserved(cut_served=20, other_served=30)
    # Ten failures and one in 50 are no breach.
    assert not _find_unserved(cut_served=0, other_served=10, count=10)
    assert _find_unserved(cut_served=0, other_served=11, count=11)


def test_callers_of_disturbed_hosts_do_not_count():
    disturbed = {"cut": [14.0]}
    assert not _find_unserved(cut_served=0, other_served=40, excused=disturbed)
    disturbed = {"cut": [9.9]}
    assert _find_unserved(cut_served=0, other_served=40, excused=disturbed)


def test_requests_beyond_a_stated_rate_are_found():
    span = soak_checks.RateSpan("s", 1.0, 10.0, 20.0)
    tries = [
        soak_checks.Try(f"{host}{number}", host, 0.0, ("p",))
        for host in "ab"
        for number in range(30)
    ]

    def find(arrivals, limited, excused=None):
        return soak_checks.find_rate_excess(
            [span],
            [soak_checks.Arrival(at, name, "p", "s") for at, name in arrivals],
            {"s": limited},
            tries,
            excused or {},
            window_s=4.0,
            notice_s=0.5,
        )

    told = [(10.1, "a0"), (10.2, "b0")]
    few = [(12.0 + n / 10, f"a{n}") for n in range(11)]
    many = [*few, (13.5, "b1")]
    assert not find(few, told)
    assert find(many, told) == ["s: 12 of 11"]
    # The second host was not told, or was restarted.
    assert not find(many, told[:1])
    assert not find(many, told, {"b": [11.0]})
    assert find(many, told, {"b": [9.0]})


_KEYS = {
    "good": soak_checks.Key("a"),
    "old": soak_checks.Key("a", withdrawn_s=10.0),
    "unknown": soak_checks.Key(None),
}


def _find_wrong(
    key: str,
    *,
    names: tuple[str, ...] = ("a",),
    sent_s: float = 5.0,
    has_credential: bool = False,
    disturbances=(),
) -> list[str]:
    """Returns what is wrong with one request at a server."""
    return soak_checks.find_wrong_identities(
        [fake_server.Identity(sent_s + 0.1, "q", names, has_credential)],
        {"q": soak_checks.KeyUse(key, sent_s)},
        _KEYS,
        disturbances,
        apply_s=3.0,
        rest_s=4.0,
    )


def test_wrong_or_missing_name_at_a_server_is_found():
    assert not _find_wrong("good")
    assert _find_wrong("good", names=("b",))
    assert _find_wrong("good", names=("a", "forged"))
    assert _find_wrong("good", names=())


def test_credential_at_a_server_is_found():
    assert _find_wrong("good", has_credential=True)


def test_name_on_a_health_check_is_found():
    identities = [fake_server.Identity(1.0, "", ("a",), False)]
    assert soak_checks.find_wrong_identities(
        identities, {}, _KEYS, [], apply_s=3.0, rest_s=4.0
    )


def test_request_with_a_key_that_is_not_valid_is_found():
    assert _find_wrong("unknown", names=())
    assert not _find_wrong("old", sent_s=12.9)
    assert _find_wrong("old", sent_s=13.1)


def test_withdrawn_key_is_excused_while_hosts_may_not_know_of_it():
    assert not _find_wrong("old", sent_s=15.9, disturbances=[12.0])
    assert _find_wrong("old", sent_s=16.1, disturbances=[12.0])
    assert not _find_wrong("old", sent_s=18.9, disturbances=[15.0, 12.0])
    # The change was in force before.
    assert _find_wrong("old", sent_s=15.0, disturbances=[14.0])


def _find_quota_excess(times, *, tenant: str = "a") -> list[str]:
    """Returns the excess over 2 requests/s and a burst of 3, in 5 s."""
    arrivals = [
        _arrive(at_s + late_s, f"q{number}", server)
        for number, at_s in enumerate(times)
        # Two attempts, of which the second does not count.
        for late_s, server in ((0.0, "s-0"), (0.2, "s-1"))
    ]
    return soak_checks.find_quota_excess(
        arrivals,
        {
            f"q{number}": soak_checks.KeyUse("good", at_s)
            for number, at_s in enumerate(times)
        },
        _KEYS,
        {tenant: soak_checks.Quota(2.0, 3.0)},
        window_s=5.0,
        excess=0.1,
        slack=20.0,
    )


def test_requests_beyond_a_quota_are_found():
    # 13 x 1.1 + 20 are allowed in a window.
    within = [20.0 + number / 10 for number in range(34)]
    assert not _find_quota_excess(within)
    assert _find_quota_excess([*within, 23.5]) == ["a: 35 of 34"]
    assert not _find_quota_excess([*within, 25.1])
    assert not _find_quota_excess([*within, 23.5], tenant="b")


_SHARDS = ("a", "b", "c")
_RECORDS = {
    name: [number * 16 for number in numbers]
    for name, numbers in (
        ("a", (b"9", b"1")),
        ("b", (b"7", b"8")),
        ("c", (b"5", b"6")),
    )
}
# Answers to the request q, the failure included, and one to another.
_SIGNED = {
    f"{service}.{request_id}.{status}": fake_server.Answer(
        f"{service}-0", request_id, status, b"".join(_RECORDS[service])
    )
    for service in _SHARDS
    for request_id in ("q", "other")
    for status in (200, 500)
}


def _list_reasons(
    kind: str,
    status: int,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    executed=(),
) -> list[str]:
    answer = soak_checks.CallerAnswer("q", kind, status, headers, body)
    found = soak_checks.find_wrong_answers(
        [answer], _SIGNED, executed, shards=_SHARDS, top=3, min_share=0.5
    )
    return [each.reason for each in found]


def _search(seals: list[str], missing: int, records: bytes) -> list[str]:
    headers = {
        "x-part-seals": ", ".join(seals),
        "x-parts-missing": str(missing),
    }
    body = b"".join(bytes([record]) * 16 for record in records)
    return _list_reasons("search", 200, headers, body)


def test_search_of_whole_parts_is_right():
    assert not _search(["a.q.200", "b.q.200", "c.q.200"], 0, b"987")
    assert not _search(["c.q.200", "a.q.200"], 1, b"965")


def test_search_with_a_part_without_records_is_found():
    # The next greatest record stands in place of those that are missing.
    assert _search(["a.q.200", "b.q.200", "c.q.200"], 0, b"965") == [
        "part without its records"
    ]
    assert _search(["a.q.200", "b.q.200"], 1, b"981") == ["other records"]


def test_search_with_a_part_that_is_no_answer_to_it_is_found():
    assert _search(["a.q.200", "b.other.200"], 1, b"987") == [
        "part of another request"
    ]
    assert _search(["a.q.200", "b.q.500"], 1, b"987") == ["part is a failure"]
    assert _search(["a.q.200", "b.q.2"], 1, b"987") == [
        "no signature of a server"
    ]
    assert _search([], 3, b"") == ["no signature of a server"]


def test_search_with_a_wrong_number_of_parts_is_found():
    assert _search(["a.q.200", "b.q.200"], 0, b"987") == [
        "wrong number of parts"
    ]
    assert _search(["a.q.200", "a.q.200"], 1, b"991") == [
        "wrong number of parts"
    ]
    assert _search(["a.q.200"], 2, b"91") == ["too few parts"]


def test_single_answer_is_right_with_signature_status_and_body():
    body = b"".join(_RECORDS["a"])
    for status in (200, 500):
        seal = {"x-server-seal": f"a.q.{status}", "x-attempt-id": "q"}
        assert not _list_reasons("single", status, seal, body)
    assert not _list_reasons("once", 504, {})


def test_single_answer_that_differs_from_the_servers_is_found():
    body = b"".join(_RECORDS["a"])
    for status, headers, expected in (
        (200, {}, "no signature of a server"),
        (200, {"x-server-seal": "a.q.2"}, "no signature of a server"),
        (200, {"x-server-seal": "a.other.200"}, "answer to another request"),
        (500, {"x-server-seal": "a.other.500"}, "answer to another request"),
        (200, {"x-server-seal": "a.q.500"}, "failure passed on as success"),
        (504, {"x-server-seal": "a.q.500"}, "failure with another status"),
        (500, {"x-server-seal": "a.q.200"}, "failure with another status"),
        (502, {"x-attempt-id": "other"}, "answer to another request"),
        (404, {}, "unsigned status 404"),
    ):
        assert _list_reasons("single", status, headers, body) == [expected]
    seal = {"x-server-seal": "a.q.200"}
    assert _list_reasons("once", 200, seal, body[:16]) == ["not the whole body"]


def test_refusal_of_what_was_executed_is_found():
    assert not _list_reasons("once", 503, {}, executed={"other"})
    assert _list_reasons("once", 503, {}, executed={"q"}) == [
        "refused though executed"
    ]
    # It may run again, so the refusal does not mislead.
    assert not _list_reasons("single", 503, {}, executed={"q"})
