"""Tests of the quarantine of requests that crash backend servers."""

from eelgrasshall.gateway import quarantine as quarantine_module


def _crash(
    quarantine, *, server: str, request_id: str, now: float, fingerprint: str
):
    quarantine.record_lost_request(server, fingerprint, request_id, now)
    return quarantine.record_unreachable(server, now + 0.1)


def test_request_that_crashes_servers_repeatedly_is_quarantined():
    quarantine = quarantine_module.Quarantine()
    for number, request_id in enumerate(("a1", "a1", "a2")):
        assert not quarantine.is_quarantined("poison", 1.0)
        _crash(
            quarantine,
            server=f"s{number}",
            request_id=request_id,
            now=1.0 + number,
            fingerprint="poison",
        )
    assert quarantine.is_quarantined("poison", 5.0)
    assert not quarantine.is_quarantined("other", 5.0)
    assert not quarantine.is_quarantined(
        "poison", 5.0 + quarantine_module.REPORT_RETENTION_S
    )


def test_request_on_servers_that_fail_together_is_not_quarantined():
    quarantine = quarantine_module.Quarantine()
    for server in ("s1", "s2", "s3", "s4", "s5"):
        _crash(
            quarantine, server=server, request_id="a1", now=1.0, fingerprint="p"
        )
    assert not quarantine.is_quarantined("p", 2.0)


def test_lost_connection_to_a_live_server_is_not_a_crash():
    quarantine = quarantine_module.Quarantine()
    for number in range(10):
        quarantine.record_lost_request(f"s{number}", "p", f"a{number}", 1.0)
        quarantine.record_unreachable(
            f"s{number}", 1.0 + quarantine_module.CONFIRM_WINDOW_S + 0.1
        )
    assert not quarantine.is_quarantined("p", 3.0)


def test_hosts_combine_their_reports():
    hosts = [quarantine_module.Quarantine() for _ in range(3)]
    for number, host in enumerate(hosts):
        _crash(
            host,
            server=f"s{number}",
            request_id=f"a{number}",
            now=1.0,
            fingerprint="poison",
        )
        assert not host.is_quarantined("poison", 2.0)
    for host in hosts:
        for other in hosts:
            gossip = [list(report) for report in other.list_gossip(2.0)]
            host.add_gossip(gossip, 2.0)
        assert host.is_quarantined("poison", 2.0)


def test_old_reports_are_not_gossiped_and_expire():
    quarantine = quarantine_module.Quarantine()
    _crash(quarantine, server="s1", request_id="a1", now=1.0, fingerprint="p")
    assert quarantine.list_gossip(2.0)
    assert not quarantine.list_gossip(2.0 + quarantine_module.GOSSIP_WINDOW_S)
    _crash(quarantine, server="s2", request_id="b1", now=100.0, fingerprint="q")
    assert not quarantine.is_quarantined("p", 100.0)
