"""Tests of requests that crash servers, with the crashes replayed."""

from eelgrasshall.gateway import quarantine


def _crash(made, *, server: str, request_id: str, now: float, print_: str):
    made.note_lost(server, print_, request_id, now)
    return made.note_down(server, now + 0.1)


def test_a_request_that_crashes_servers_again_and_again_is_refused():
    made = quarantine.Quarantine()
    for number, request_id in enumerate(("a1", "a1", "a2")):
        assert not made.refuses("poison", 1.0)
        _crash(
            made,
            server=f"s{number}",
            request_id=request_id,
            now=1.0 + number,
            print_="poison",
        )
    assert made.refuses("poison", 5.0)
    assert not made.refuses("other", 5.0)
    assert not made.refuses("poison", 5.0 + quarantine.REMEMBER_S)


def test_an_innocent_request_beside_servers_that_fail_together_runs_again():
    made = quarantine.Quarantine()
    for server in ("s1", "s2", "s3", "s4", "s5"):
        _crash(made, server=server, request_id="a1", now=1.0, print_="p")
    assert not made.refuses("p", 2.0)


def test_a_lost_answer_of_a_server_that_lives_is_no_crash():
    made = quarantine.Quarantine()
    for number in range(10):
        made.note_lost(f"s{number}", "p", f"a{number}", 1.0)
        made.note_down(f"s{number}", 1.0 + quarantine.CONFIRM_S + 0.1)
    assert not made.refuses("p", 3.0)


def test_hosts_put_together_what_each_has_seen():
    hosts = [quarantine.Quarantine() for _ in range(3)]
    for number, host in enumerate(hosts):
        _crash(
            host,
            server=f"s{number}",
            request_id=f"a{number}",
            now=1.0,
            print_="poison",
        )
        assert not host.refuses("poison", 2.0)
    for host in hosts:
        for other in hosts:
            told = [list(blame) for blame in other.list_told(2.0)]
            host.take_told(told, 2.0)
        assert host.refuses("poison", 2.0)


def test_old_blames_are_not_told_and_are_forgotten():
    made = quarantine.Quarantine()
    _crash(made, server="s1", request_id="a1", now=1.0, print_="p")
    assert made.list_told(2.0)
    assert not made.list_told(2.0 + quarantine.TELL_S)
    _crash(made, server="s2", request_id="b1", now=100.0, print_="q")
    assert not made.refuses("p", 100.0)
