"""Tests of the quarantine of requests that crash backend servers."""

import itertools

from hypothesis import stateful
from hypothesis import strategies

from eelgrasshall.gateway import quarantine as quarantine_module


def _make(verdicts: list | None = None) -> quarantine_module.Quarantine:
    return quarantine_module.Quarantine(
        on_verdict=lambda verdict, reports: (
            verdicts.append(verdict) if verdicts is not None else None
        )
    )


def _crash(
    quarantine,
    *,
    server: str,
    request_id: str,
    began_s: float,
    fingerprint: str = "poison",
    ended_s: float | None = None,
    service: str = "orders",
):
    ended_s = began_s + 0.01 if ended_s is None else ended_s
    quarantine.record_unanswered(
        server,
        quarantine_module.Suspect(
            fingerprint, request_id, began_s, ended_s, service
        ),
    )
    return quarantine.record_crash(server, ended_s + 0.02)


def _is_quarantined(quarantine, fingerprint: str, now: float) -> bool:
    return quarantine.get_remaining_s(fingerprint, now) > 0


def _exchange(sender, receiver, now: float, count: int = 14) -> None:
    receiver.add_gossip(sender.list_gossip(now, count), now)


def test_request_that_crashes_servers_repeatedly_is_quarantined():
    quarantine = _make()
    for number, request_id in enumerate(("a1", "a1", "a2")):
        assert not _is_quarantined(quarantine, "poison", 1.0 + number)
        _crash(
            quarantine,
            server=f"s{number}",
            request_id=request_id,
            began_s=1.0 + number,
        )
    assert _is_quarantined(quarantine, "poison", 5.0)
    assert not _is_quarantined(quarantine, "other", 5.0)
    assert not _is_quarantined(
        quarantine, "poison", 5.0 + quarantine_module.QUARANTINE_S
    )


def test_one_try_that_crashes_servers_one_after_the_other_is_enough():
    # A try with retries: each run begins after the crash before it.
    quarantine = _make()
    for number in range(3):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="a1",
            began_s=1.0 + number / 50,
        )
    assert _is_quarantined(quarantine, "poison", 2.0)


def test_search_that_crashes_all_shards_twice_is_quarantined():
    quarantine = _make()
    for number in range(20):
        _crash(quarantine, server=f"s{number}", request_id="a1", began_s=1.0)
    assert not _is_quarantined(quarantine, "poison", 2.0)
    _crash(quarantine, server="s20", request_id="a2", began_s=3.0)
    assert _is_quarantined(quarantine, "poison", 4.0)


def test_server_that_crashes_again_counts_again():
    quarantine = _make()
    for number in range(3):
        _crash(
            quarantine,
            server="s1",
            request_id=f"a{number}",
            began_s=1.0 + number,
        )
    assert _is_quarantined(quarantine, "poison", 4.5)


def test_request_on_servers_that_fail_together_is_not_quarantined():
    # Two tries of one request and a popular one run on servers that fail.
    quarantine = _make()
    for number, request_id in itertools.product(range(5), ("a1", "a2", "a3")):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id=request_id,
            began_s=1.0 + number / 100,
            ended_s=1.2,
        )
    assert not _is_quarantined(quarantine, "poison", 2.0)


def _crash_in_waves(
    quarantine,
    *,
    servers: int,
    request_id: str,
    began_s: float = 1.0,
    fingerprint: str = "poison",
) -> None:
    """A try crashes a server, its retry the next one, and so on."""
    for number in range(servers):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id=request_id,
            began_s=began_s + number / 50,
            fingerprint=fingerprint,
        )


def _settle_all(hosts, start_s: float) -> float:
    """Lets hosts exchange reports for 3 s; returns the time after it."""
    now = start_s
    for _ in range(12):
        now += 0.25
        for sender in hosts:
            entries = sender.list_gossip(now, 14)
            for receiver in hosts:
                if receiver is not sender:
                    receiver.add_gossip(entries, now)
    return now


def test_neighbours_of_a_harmful_request_are_not_quarantined():
    # The harmful one is at the first host, one that its retries ran beside at
    # the second, which sees three crashes in runs that followed each other.
    hosts = [_make() for _ in range(3)]
    _crash_in_waves(hosts[0], servers=8, request_id="a1")
    _crash_in_waves(
        hosts[1], servers=3, request_id="b1", fingerprint="innocent"
    )
    now = _settle_all(hosts, 1.2)
    assert all(_is_quarantined(host, "poison", now) for host in hosts)
    assert not any(_is_quarantined(host, "innocent", now) for host in hosts)


def test_neighbour_that_is_reported_after_the_verdict_is_not_quarantined():
    # A frozen host tells late of the crashes that it has seen.
    hosts = [_make() for _ in range(2)]
    _crash_in_waves(hosts[0], servers=8, request_id="a1")
    now = _settle_all(hosts, 1.2)
    assert _is_quarantined(hosts[1], "poison", now)
    late = _make()
    late.list_gossip(1.0, 14)
    _crash_in_waves(late, servers=3, request_id="b1", fingerprint="innocent")
    assert not _is_quarantined(late, "innocent", now)
    now = _settle_all([*hosts, late], now)
    assert not _is_quarantined(hosts[1], "innocent", now)
    assert not _is_quarantined(late, "innocent", now)
    assert _is_quarantined(late, "poison", now)


def test_servers_that_fail_in_waves_under_many_requests_prove_nothing():
    # Retries of all requests move on to servers that fail a little later.
    quarantine = _make()
    names = [f"innocent{number}" for number in range(5)]
    for number, name in enumerate(names):
        _crash_in_waves(
            quarantine,
            servers=3 + number % 2,
            request_id=f"b{number}",
            fingerprint=name,
        )
    assert not any(_is_quarantined(quarantine, name, 4.0) for name in names)


def test_harmful_request_is_stopped_although_another_one_ran_beside_it():
    # Both run at each server that crashes, so that nothing tells them apart:
    # after three tries, both are stopped.
    quarantine = _make()
    for number in range(3):
        assert not _is_quarantined(quarantine, "poison", 1.0 + number * 1.3)
        for name in ("poison", "neighbour"):
            _crash_in_waves(
                quarantine,
                servers=3,
                request_id=f"{name}{number}",
                began_s=1.0 + number * 1.3,
                fingerprint=name,
            )
    assert _is_quarantined(quarantine, "poison", 5.0)


def test_harmful_request_is_stopped_beside_one_with_more_crashes():
    # Two harmful requests share some of the servers that they crash.
    quarantine = _make()
    _crash_in_waves(quarantine, servers=9, request_id="b1", fingerprint="other")
    _crash(quarantine, server="s1", request_id="a1", began_s=1.0)
    for number in range(3):
        _crash(
            quarantine,
            server=f"t{number}",
            request_id=f"a{number + 2}",
            began_s=2.3 + number * 1.3,
        )
    assert _is_quarantined(quarantine, "poison", 6.0)


def test_servers_found_dark_one_by_one_do_not_blame_the_second_try():
    # All were lost at once; the second try meets others that are down, which
    # were last heard of before the first one was found out.
    quarantine = _make()
    for number in range(3):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="a1",
            began_s=1.0,
            ended_s=2.0,
        )
    for number in range(3, 6):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="a2",
            began_s=1.1,
            ended_s=4.0,
        )
    assert not _is_quarantined(quarantine, "poison", 5.0)


def test_lost_connection_to_a_live_server_is_not_a_crash():
    quarantine = _make()
    for number in range(10):
        server = f"s{number}"
        quarantine.record_unanswered(
            server, quarantine_module.Suspect("p", f"a{number}", number, number)
        )
        quarantine.record_alive(server, number + 0.1)
        assert not quarantine.record_crash(server, number + 0.2)
    assert not _is_quarantined(quarantine, "p", 30.0)


def test_answer_sent_for_before_the_loss_does_not_clear():
    quarantine = _make()
    quarantine.record_unanswered(
        "s1", quarantine_module.Suspect("p", "a1", 1.0, 2.0)
    )
    quarantine.record_alive("s1", 1.9)
    assert len(quarantine.record_crash("s1", 2.1)) == 1


def test_old_loss_is_not_blamed():
    quarantine = _make()
    quarantine.record_unanswered(
        "s1", quarantine_module.Suspect("p", "a1", 1.0, 2.0)
    )
    late_s = 2.0 + quarantine_module.CONFIRM_WINDOW_S
    assert not quarantine.record_crash("s1", late_s)


def _crash_twice(quarantine) -> None:
    for number in range(2):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="a1",
            began_s=1.0 + number,
        )


def _answer(
    quarantine, *, tries: int, service: str = "orders", now: float = 5.0
) -> None:
    for _ in range(tries):
        quarantine.record_success("poison", (service,), now)


def test_answered_tries_clear_a_request():
    quarantine = _make()
    _crash_twice(quarantine)
    _answer(quarantine, tries=quarantine_module.MIN_CLEAN_TRIES)
    assert not quarantine.has_reports()
    _crash(quarantine, server="s2", request_id="a2", began_s=9.0)
    assert not _is_quarantined(quarantine, "poison", 11.0)


def test_answer_of_another_server_of_the_service_does_not_clear_a_request():
    # Only some servers of the service crash under it.
    quarantine = _make()
    _crash_twice(quarantine)
    _answer(quarantine, tries=quarantine_module.MIN_CLEAN_TRIES - 1)
    _crash(quarantine, server="s2", request_id="a2", began_s=9.0)
    _answer(quarantine, tries=1, now=9.5)
    assert _is_quarantined(quarantine, "poison", 11.0)


def test_answers_of_another_service_do_not_clear_a_request():
    quarantine = _make()
    _crash_twice(quarantine)
    _answer(quarantine, tries=10, service="invoices")
    _crash(quarantine, server="s2", request_id="a2", began_s=9.0)
    assert _is_quarantined(quarantine, "poison", 11.0)


def test_other_hosts_do_not_restore_reports_that_answers_have_cleared():
    # They still have them and send them once a second.
    hosts = [_make(), _make()]
    _crash_twice(hosts[0])
    _exchange(hosts[0], hosts[1], 4.0)
    _answer(hosts[0], tries=quarantine_module.MIN_CLEAN_TRIES)
    _exchange(hosts[1], hosts[0], 6.0)
    assert hosts[1].has_reports()
    assert not hosts[0].has_reports()


def test_answers_do_not_clear_a_request_that_is_quarantined():
    quarantine = _make()
    _crash_twice(quarantine)
    _crash(quarantine, server="s2", request_id="a2", began_s=9.0)
    assert _is_quarantined(quarantine, "poison", 11.0)
    _answer(quarantine, tries=10, now=11.0)
    assert _is_quarantined(quarantine, "poison", 12.0)


def test_hosts_combine_their_reports():
    # Three hosts, one crash each, with six requests under way at each server.
    hosts = [_make() for _ in range(4)]
    for number, host in enumerate(hosts[:3]):
        for other in range(6):
            name = f"innocent-{number}-{other}" if other else "poison"
            host.record_unanswered(
                f"s{number}",
                quarantine_module.Suspect(
                    name, f"{number}-{other}", 1.0 + number, 1.01 + number
                ),
            )
        assert len(host.record_crash(f"s{number}", 1.02 + number)) == 6
        assert not _is_quarantined(host, "poison", 4.0)
    for now in (4.0, 4.25, 4.5):
        for host, other in itertools.permutations(hosts, 2):
            _exchange(host, other, now)
    assert all(_is_quarantined(host, "poison", 5.0) for host in hosts)
    assert not any(_is_quarantined(host, "innocent-0-1", 5.0) for host in hosts)


def test_host_that_joins_later_learns_all_verdicts():
    # More entries than one datagram carries, all sent many times before.
    old, new = _make(), _make()
    names = [f"p{i}" for i in range(60)]
    for name in names:
        old.add_verdict(quarantine_module.Verdict(name, 500.0), 1.0)
    for number in range(100):
        old.list_gossip(2.0 + number / 4, 14)
    for number in range(10):
        _exchange(old, new, 40.0 + number / 4)
    assert all(_is_quarantined(new, name, 50.0) for name in names)


def test_reports_on_neighbours_of_a_quarantined_request_are_not_sent():
    # They are of no use, and control traffic is limited.
    quarantine = _make()
    _crash_in_waves(quarantine, servers=8, request_id="a1")
    _crash_in_waves(
        quarantine, servers=3, request_id="b1", fingerprint="innocent"
    )
    sent = quarantine.list_gossip(3.0, 14)
    assert {entry.fingerprint for entry in sent} == {"poison"}
    assert len(sent) == 9


def test_verdicts_are_not_held_up_by_many_reports():
    # A host that starts after servers have crashed under many requests.
    old, new = _make(), _make()
    for number in range(200):
        _crash(
            old,
            server=f"s{number % 20}",
            request_id=f"b{number}",
            began_s=1.0,
            fingerprint=f"innocent{number}",
        )
    old.add_verdict(quarantine_module.Verdict("poison", 500.0), 1.0)
    now = 1.0
    for _ in range(200):
        now += 0.25
        old.list_gossip(now, 14)
    for _ in range(8):
        now += 0.25
        _exchange(old, new, now)
    assert _is_quarantined(new, "poison", now)


def test_new_entry_goes_before_old_ones():
    quarantine = _make()
    for number in range(60):
        quarantine.add_verdict(
            quarantine_module.Verdict(f"p{number}", 500.0), 1.0
        )
    for number in range(60):
        quarantine.list_gossip(2.0 + number / 4, 14)
    _crash(quarantine, server="s1", request_id="a1", began_s=20.0)
    sent = quarantine.list_gossip(21.0, 14)
    assert "a1" in {getattr(entry, "request_id", None) for entry in sent}


def test_old_entries_are_sent_seldom():
    # They are kept for minutes, and control traffic is limited.
    quarantine = _make()
    quarantine.add_verdict(quarantine_module.Verdict("p", 500.0), 1.0)
    for number in range(quarantine_module.FRESH_SENDS):
        assert quarantine.list_gossip(2.0 + number / 4, 14)
    sent = [
        quarantine.list_gossip(10.0 + number / 4, 14) for number in range(40)
    ]
    assert sum(map(len, sent)) == 10


def test_verdict_expires_on_all_hosts_at_once():
    hosts = [_make(), _make()]
    hosts[0].add_verdict(quarantine_module.Verdict("p", 100.0), 1.0)
    for now in range(2, 130):
        _exchange(hosts[0], hosts[1], float(now))
        _exchange(hosts[1], hosts[0], float(now))
    assert not any(_is_quarantined(host, "p", 130.0) for host in hosts)


def test_verdict_of_another_host_is_bounded():
    quarantine = _make()
    quarantine.add_verdict(quarantine_module.Verdict("p", 1e9), 1.0)
    limit_s = 1.0 + quarantine_module.QUARANTINE_S
    assert not _is_quarantined(quarantine, "p", limit_s)


def test_many_innocent_requests_do_not_displace_a_suspicious_one():
    quarantine = _make()
    for number in range(2):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id="a1",
            began_s=1.0 + number,
        )
    for number in range(3 * quarantine_module.MAX_FINGERPRINTS):
        _crash(
            quarantine,
            server="s9",
            request_id=f"b{number}",
            began_s=5.0,
            fingerprint=f"innocent{number}",
        )
    dump = quarantine.dump(6.0)
    assert dump["reported"] <= quarantine_module.MAX_FINGERPRINTS
    _crash(quarantine, server="s2", request_id="a2", began_s=7.0)
    assert _is_quarantined(quarantine, "poison", 8.0)


def test_reports_expire():
    quarantine = _make()
    _crash(quarantine, server="s1", request_id="a1", began_s=1.0)
    assert quarantine.list_gossip(2.0, 14)
    late_s = 2.0 + quarantine_module.REPORT_RETENTION_S
    assert not quarantine.list_gossip(late_s, 14)
    assert not quarantine.has_reports()


def test_verdict_is_announced_once():
    verdicts = []
    quarantine = _make(verdicts)
    for number in range(6):
        _crash(
            quarantine,
            server=f"s{number}",
            request_id=f"a{number}",
            began_s=1.0 + number,
        )
    quarantine.add_verdict(quarantine_module.Verdict("poison", 400.0), 9.0)
    assert [verdict.fingerprint for verdict in verdicts] == ["poison"]


class CrashSync(stateful.RuleBasedStateMachine):
    """Hosts that meet crashes, restart and lose datagrams.

    One request crashes servers, each time a different one.  Innocent requests
    run on servers that fail together.
    """

    host_count = 4
    hosts = strategies.integers(0, host_count - 1)

    def __init__(self):
        super().__init__()
        self.now = 1.0
        self.crashes = 0
        self.hosts = [_make() for _ in range(self.host_count)]

    @stateful.rule(host=hosts)
    def crash(self, host):
        """The harmful request ends a server."""
        self.crashes += 1
        _crash(
            self.hosts[host],
            server=f"s{self.crashes}",
            request_id=f"a{self.crashes}",
            began_s=self.now,
        )
        self.now += 0.1

    @stateful.rule(first=hosts, second=hosts)
    def fail_together(self, first, second):
        """Many servers fail at once under two tries of an innocent request."""
        for number, host in enumerate((first, second)):
            for server in range(4):
                _crash(
                    self.hosts[host],
                    server=f"t{server}",
                    request_id=f"b{number}",
                    began_s=1.0 + number / 10,
                    ended_s=1.5,
                    fingerprint="innocent",
                )

    @stateful.rule(sender=hosts, receiver=hosts)
    def exchange(self, sender, receiver):
        """A datagram arrives."""
        self.now += 0.25
        _exchange(self.hosts[sender], self.hosts[receiver], self.now)

    @stateful.rule(sender=hosts)
    def lose(self, sender):
        """A datagram is lost."""
        self.now += 0.25
        self.hosts[sender].list_gossip(self.now, 14)

    @stateful.rule(host=hosts)
    def restart(self, host):
        """A host restarts and knows nothing."""
        self.hosts[host] = _make()

    @stateful.invariant()
    def innocent_is_served(self):
        """Servers that fail together prove nothing."""
        for host in self.hosts:
            assert not _is_quarantined(host, "innocent", self.now)

    @stateful.invariant()
    def three_crashes_are_needed(self):
        """Nothing is quarantined without the evidence."""
        if self.crashes < quarantine_module.MIN_CRASHES:
            for host in self.hosts:
                assert not _is_quarantined(host, "poison", self.now)

    def teardown(self):
        """After a while of exchanges, hosts agree, and one more crash or two
        are enough for all."""
        self._settle()
        verdicts = [_is_quarantined(h, "poison", self.now) for h in self.hosts]
        assert len(set(verdicts)) == 1
        if not verdicts[0]:
            for host in range(3):
                self.crash(host)
            self._settle()
        assert all(_is_quarantined(h, "poison", self.now) for h in self.hosts)

    def _settle(self):
        for _ in range(12):
            self.now += 0.25
            for sender, receiver in itertools.permutations(self.hosts, 2):
                _exchange(sender, receiver, self.now)


TestCrashSync = CrashSync.TestCase
