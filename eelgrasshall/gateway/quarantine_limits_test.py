"""Tests of the quarantine with many reports, answers and suspects."""

from eelgrasshall.gateway import quarantine as quarantine_module
from eelgrasshall.gateway.quarantine_test import _crash
from eelgrasshall.gateway.quarantine_test import _is_quarantined
from eelgrasshall.gateway.quarantine_test import _make


def _beat(quarantine, begin_s: float, end_s: float) -> None:
    """Sends heartbeats as a host does."""
    for number in range(int((end_s - begin_s) * 4) + 1):
        quarantine.list_gossip(begin_s + number / 4, 14)


def test_search_over_more_servers_than_reports_are_kept_of():
    # One try crashes 40 servers at once; each try after it crashes more.
    quarantine = _make()
    for number in range(40):
        _crash(quarantine, server=f"a{number}", request_id="t0", began_s=1.0)
    for attempt in range(1, 6):
        began_s = 1.0 + 2.0 * attempt
        _beat(quarantine, began_s - 2.0 + 0.05, began_s)
        for number in range(40):
            _crash(
                quarantine,
                server=f"{attempt}-{number}",
                request_id=f"t{attempt}",
                began_s=began_s,
            )
    _beat(quarantine, 11.1, 20.0)
    assert _is_quarantined(quarantine, "poison", 20.0)


def test_popular_request_that_crashes_servers_under_many_callers():
    # 40 callers send the same request at once; two servers end under it.  They
    # come back again and again.
    quarantine = _make()
    for attempt in range(6):
        began_s = 1.0 + 2.0 * attempt
        for server in range(2):
            for caller in range(20):
                quarantine.record_unanswered(
                    f"{attempt}-{server}",
                    quarantine_module.Suspect(
                        "poison",
                        f"c{server}-{caller}-t{attempt}",
                        began_s,
                        began_s + 0.01,
                        "orders",
                    ),
                )
            quarantine.record_crash(f"{attempt}-{server}", began_s + 0.05)
        _beat(quarantine, began_s + 0.1, began_s + 1.9)
    assert _is_quarantined(quarantine, "poison", 14.0)


def test_request_answered_by_half_of_the_servers_beside_others():
    # Every other try is answered; another innocent request runs at each crash.
    quarantine = _make()
    for attempt in range(12):
        began_s = 1.0 + 2.0 * attempt
        if attempt % 2 == 0:
            for name in ("poison", f"innocent{attempt}"):
                quarantine.record_unanswered(
                    f"s{attempt}",
                    quarantine_module.Suspect(
                        name,
                        f"{name}-t{attempt}",
                        began_s,
                        began_s + 0.01,
                        "orders",
                    ),
                )
            quarantine.record_crash(f"s{attempt}", began_s + 0.05)
        else:
            quarantine.record_success("poison", ["orders"], began_s)
        _beat(quarantine, began_s + 0.1, began_s + 1.9)
    assert _is_quarantined(quarantine, "poison", 26.0)


def test_two_harmful_requests_side_by_side_that_were_answered_once():
    quarantine = _make()
    for attempt in range(8):
        began_s = 1.0 + 2.0 * attempt
        for name in ("p", "q"):
            quarantine.record_unanswered(
                f"s{attempt}",
                quarantine_module.Suspect(
                    name,
                    f"{name}-t{attempt}",
                    began_s,
                    began_s + 0.01,
                    "orders",
                ),
            )
        quarantine.record_crash(f"s{attempt}", began_s + 0.05)
        if attempt == 0:
            quarantine.record_success("p", ["orders"], began_s + 0.5)
            quarantine.record_success("q", ["orders"], began_s + 0.5)
        _beat(quarantine, began_s + 0.1, began_s + 1.9)
    assert _is_quarantined(quarantine, "p", 18.0)
    assert _is_quarantined(quarantine, "q", 18.0)


def test_host_that_is_late_again_and_again_decides():
    # The hold is extended at each late heartbeat; a request with two tries,
    # or one that was answered once, is never decided on.
    quarantine = _make()
    quarantine.list_gossip(1.0, 14)
    for number in range(3):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="one-try",
            began_s=1.1 + number / 10,
        )
    for number in range(1, 12):
        quarantine.list_gossip(1.0 + 0.8 * number, 14)
    assert _is_quarantined(quarantine, "poison", 9.9)


def test_harmful_request_that_ends_before_many_others_is_a_suspect():
    quarantine = _make()
    for attempt in range(6):
        began_s = 1.0 + 2.0 * attempt
        names = ["poison", *(f"i{attempt}-{n}" for n in range(64))]
        for name in names:
            quarantine.record_unanswered(
                f"s{attempt}",
                quarantine_module.Suspect(
                    name,
                    f"{name}-t{attempt}",
                    began_s,
                    began_s + 0.01,
                    "orders",
                ),
            )
        quarantine.record_crash(f"s{attempt}", began_s + 0.05)
        _beat(quarantine, began_s + 0.1, began_s + 1.9)
    assert _is_quarantined(quarantine, "poison", 14.0)
