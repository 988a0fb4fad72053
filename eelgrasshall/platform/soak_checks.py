"""Checks of the soak on what callers and backend servers have seen.

They are plain functions over recorded events, so that their own tests can show
that they find a breach.
"""

import bisect
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import math
from typing import NamedTuple

from eelgrasshall.platform import fake_server

# Time in which a host verifies a crash and tells the others of it.
REPORT_TIME_S = 1.0
# Statuses that say that the request was not executed.
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
# Statuses that hosts give themselves to requests that are allowed.
OWN_STATUSES = frozenset((408, 429, 500, 502, 503, 504))


class Arrival(NamedTuple):
    """A request that arrived at a backend server.

    Attributes:
      at_s: Monotonic time.
      request_id: Id of the caller's try.
      service: The service of the server.
      server_id: The server.
    """

    at_s: float
    request_id: str
    service: str
    server_id: str


class Try(NamedTuple):
    """A try of a caller.

    Attributes:
      request_id: Its id.
      host: The host that it was sent to.
      sent_s: Monotonic time at which it was sent.
      services: The services that it is about.
    """

    request_id: str
    host: str
    sent_s: float
    services: tuple[str, ...]


class HostCut(NamedTuple):
    """A time for which hosts were cut off from all backend servers.

    Attributes:
      hosts: The hosts.
      begin_s: Monotonic time at which it began.
      end_s: Monotonic time at which it ended.
    """

    hosts: frozenset[str]
    begin_s: float
    end_s: float


class RateSpan(NamedTuple):
    """A time for which a server stated the most requests that it takes.

    Attributes:
      server_id: The server.
      rate: Requests per second.
      begin_s: Monotonic time at which it began.
      end_s: Monotonic time at which it ended.
    """

    server_id: str
    rate: float
    begin_s: float
    end_s: float


class Turn(NamedTuple):
    """A request that a server turned away while it asked for a pause.

    Attributes:
      at_s: Monotonic time.
      host: The host that sent it.
      until_s: End of the pause that it asked for.
    """

    at_s: float
    host: str
    until_s: float


class Key(NamedTuple):
    """An API key, and when the configuration had it.

    Attributes:
      tenant: The tenant; None for a key that no configuration ever had.
      added_s: Monotonic time at which a configuration with it was published.
      withdrawn_s: The same of the first configuration without it; infinity if
        there is none.
    """

    tenant: str | None
    added_s: float = -math.inf
    withdrawn_s: float = math.inf


class KeyUse(NamedTuple):
    """The key of a try of a caller.

    Attributes:
      key: The key.
      sent_s: Monotonic time at which the try was sent.
    """

    key: str
    sent_s: float


class Quota(NamedTuple):
    """The requests that a tenant may send, over all hosts.

    Attributes:
      rate: Requests per second.
      burst: Requests beyond that at once.
    """

    rate: float
    burst: float


class CallerAnswer(NamedTuple):
    """An answer that a caller got.

    Attributes:
      request_id: Id of the try that it is for.
      kind: The route of that try.
      status: Its status.
      headers: Its headers, with names in lower case.
      body: Its body.
    """

    request_id: str
    kind: str
    status: int
    headers: Mapping[str, str]
    body: bytes


class WrongAnswer(NamedTuple):
    """An answer to a caller that is wrong.

    Attributes:
      answer: The answer.
      reason: What is wrong, in the same words for each such answer.
      server_ids: The servers whose answers it was made from, as far as they
        are known, or only that which was answered wrongly.
    """

    answer: CallerAnswer
    reason: str
    server_ids: tuple[str, ...] = ()


def find_wrong_answers(
    answers: Iterable[CallerAnswer],
    signed: Mapping[str, fake_server.Answer],
    executed: Collection[str],
    *,
    shards: Sequence[str],
    top: int,
    min_share: float,
    own_statuses: Collection[int] = OWN_STATUSES,
) -> list[WrongAnswer]:
    """Returns the answers that are not what the servers answered.

    Args:
      answers: What callers got.
      signed: All answers that servers signed, by signature.
      executed: Ids of the tries that servers executed.
      shards: The services of a search.
      top: Number of records that a search returns.
      min_share: Least share of the shards in a search that succeeds.
      own_statuses: Statuses without a signature that callers may get.
    """
    found = []
    for answer in answers:
        if answer.kind == "search" and 200 <= answer.status < 300:
            wrong = _check_search(answer, signed, shards, top, min_share)
        else:
            wrong = _check_single(answer, signed, own_statuses)
        if (
            wrong is None
            and answer.kind == "once"
            and answer.status in NOT_EXECUTED_STATUSES
            and answer.request_id in executed
        ):
            wrong = WrongAnswer(answer, "refused though executed")
        if wrong is not None:
            found.append(wrong)
    return found


def _check_search(
    answer: CallerAnswer,
    signed: Mapping[str, fake_server.Answer],
    shards: Sequence[str],
    top: int,
    min_share: float,
) -> WrongAnswer | None:
    """Returns what is wrong with a search that succeeded, or None."""
    text = answer.headers.get("x-part-seals", "")
    seals = [each.strip() for each in text.split(",") if each.strip()]
    parts = [signed.get(seal) for seal in seals]
    if not seals or None in parts:
        return WrongAnswer(answer, "no signature of a server")
    ids = tuple(part.server_id for part in parts)
    for part in parts:
        if part.request_id != answer.request_id:
            return WrongAnswer(
                answer, "part of another request", (part.server_id,)
            )
        if part.status >= 300:
            return WrongAnswer(answer, "part is a failure", (part.server_id,))
    services = {each.rpartition("-")[0] for each in ids}
    missing = int(answer.headers.get("x-parts-missing", "0"))
    if (
        len(services) != len(parts)
        or not services <= set(shards)
        or len(parts) + missing != len(shards)
    ):
        return WrongAnswer(answer, "wrong number of parts", ids)
    if len(parts) < min_share * len(shards):
        return WrongAnswer(answer, "too few parts", ids)
    if answer.body == _merge(parts, top):
        return None
    for part in parts:
        others = [each for each in parts if each is not part]
        if answer.body == _merge(others, top):
            return WrongAnswer(
                answer, "part without its records", (part.server_id,)
            )
    return WrongAnswer(answer, "other records", ids)


def _merge(parts: Iterable[fake_server.Answer], top: int) -> bytes:
    """Returns the greatest records of some parts, greatest first."""
    size = fake_server.RECORD_BYTES
    records = [
        part.body[start : start + size]
        for part in parts
        for start in range(0, len(part.body) - size + 1, size)
    ]
    return b"".join(sorted(records, reverse=True)[:top])


def _check_single(
    answer: CallerAnswer,
    signed: Mapping[str, fake_server.Answer],
    own_statuses: Collection[int],
) -> WrongAnswer | None:
    """Returns what is wrong with a server's answer or a failure, or None."""
    seal = answer.headers.get("x-server-seal")
    succeeded = 200 <= answer.status < 300
    stated_id = answer.headers.get("x-attempt-id", answer.request_id)
    if stated_id != answer.request_id:
        return WrongAnswer(answer, "answer to another request")
    if seal is None:
        if succeeded:
            return WrongAnswer(answer, "no signature of a server")
        if answer.status not in own_statuses:
            return WrongAnswer(answer, f"unsigned status {answer.status}")
        return None
    sent = signed.get(seal)
    if sent is None:
        return WrongAnswer(answer, "no signature of a server")
    ids = (sent.server_id,)
    if sent.request_id != answer.request_id:
        return WrongAnswer(answer, "answer to another request", ids)
    if sent.status != answer.status:
        if succeeded:
            return WrongAnswer(answer, "failure passed on as success", ids)
        return WrongAnswer(answer, "failure with another status", ids)
    if succeeded and sent.body != answer.body:
        return WrongAnswer(answer, "not the whole body", ids)
    return None


def find_excess(
    arrivals: Iterable[Arrival],
    tries: Iterable[Try],
    *,
    ratio: float,
    fixed: float,
    window_s: float,
) -> list[str]:
    """Returns the services that got too many extra attempts in a window.

    The first arrival of a try at a service is not extra.  Tries are counted in
    the same window, the one before it, or the one half a window before it.

    Args:
      arrivals: All arrivals at backend servers.
      tries: All tries of callers.
      ratio: Extra attempts allowed for each try.
      fixed: Extra attempts allowed beside these.
      window_s: Length of the window, seconds.
    """
    requested: dict[str, list[float]] = {}
    for each in sorted(tries, key=lambda each: each.sent_s):
        for service in each.services:
            requested.setdefault(service, []).append(each.sent_s)
    seen: set[tuple[str, str]] = set()
    extra: dict[str, list[float]] = {}
    for arrival in sorted(arrivals):
        first = (arrival.service, arrival.request_id)
        if first in seen:
            extra.setdefault(arrival.service, []).append(arrival.at_s)
        seen.add(first)
    found = []
    for service, times in extra.items():
        for end_s in times:
            allowed = fixed + ratio * max(
                _count(requested.get(service, []), end_s - back_s, window_s)
                for back_s in (0.0, window_s / 2, window_s)
            )
            count = _count(times, end_s, window_s)
            if count > allowed:
                found.append(f"{service}: {count} of {allowed:.0f}")
                break
    return found


def list_late_tries(
    tries: Iterable[Try],
    crashes: Sequence[fake_server.Crash],
    disturbances: dict[str, list[float]],
    *,
    target: bytes,
    allowed_crashes: int,
    notice_s: float,
) -> list[str]:
    """Returns the tries that crashed servers though they had been found out.

    A host that was ended or frozen about the time of a crash may not have told
    of it, and one that was just started or woken may not have been told.

    Args:
      tries: All tries of callers.
      crashes: All crashes.
      disturbances: Times at which hosts were ended, started, frozen or woken,
        by host.
      target: Target of the request that is checked.
      allowed_crashes: Number of crashes that find it out.
      notice_s: Time after these within which all hosts have to know of it.
    """
    by_id = {each.request_id: each for each in tries}
    crashes = sorted(
        (each for each in crashes if each.target == target),
        key=lambda each: each.at_s,
    )

    def is_disturbed(crash: fake_server.Crash, after_s: float) -> bool:
        times = disturbances.get(by_id[crash.request_id].host, ())
        return any(
            crash.at_s - notice_s <= at_s <= crash.at_s + after_s
            for at_s in times
        )

    told = [each for each in crashes if not is_disturbed(each, REPORT_TIME_S)]
    if len(told) < allowed_crashes:
        return []
    known_s = told[allowed_crashes - 1].at_s + notice_s
    return sorted(
        {
            crash.request_id
            for crash in crashes
            if by_id[crash.request_id].sent_s > known_s
            and not is_disturbed(crash, 0.0)
        }
    )


def find_ignored_pauses(
    turns: Iterable[Turn],
    excused: dict[str, list[float]],
    *,
    allowed: int,
    notice_s: float,
) -> list[str]:
    """Returns the hosts that did not respect a pause, with their requests.

    Args:
      turns: What one server turned away.
      excused: Times at which hosts were restarted or frozen, by host.
      allowed: Requests of a host that may arrive in a pause.
      notice_s: Time after an answer that states the pause, for the host to
        take notice.
    """
    told: dict[str, list[Turn]] = {}
    counts: dict[tuple[str, float], int] = {}
    for turn in sorted(turns):
        earlier = told.setdefault(turn.host, [])
        for each in earlier:
            if each.at_s + notice_s < turn.at_s < each.until_s and not any(
                each.at_s <= at_s <= turn.at_s
                for at_s in excused.get(turn.host, ())
            ):
                key = (turn.host, each.at_s)
                counts[key] = counts.get(key, 0) + 1
        earlier.append(turn)
    return sorted(
        {
            f"{host}: {count}"
            for (host, _), count in counts.items()
            if count > allowed
        }
    )


def find_rate_excess(
    spans: Iterable[RateSpan],
    arrivals: Iterable[Arrival],
    limited: Mapping[str, Sequence[tuple[float, str]]],
    tries: Iterable[Try],
    excused: dict[str, list[float]],
    *,
    window_s: float,
    notice_s: float,
) -> list[str]:
    """Returns the servers that got more requests than they stated to take.

    In a window that ends later than its length after the beginning, 1.5 times
    the rate and five more are allowed, over the hosts that were told.

    Args:
      spans: The times for which servers stated rates.
      arrivals: All arrivals at backend servers.
      limited: For each server, monotonic time and request id of each answer
        that stated a rate.
      tries: All tries of callers.
      excused: Times at which hosts were restarted, frozen or cut off, by host.
        What they send within a window after that does not count.
      window_s: Length of the window, seconds.
      notice_s: Time after an answer to a host from which its requests count.
    """
    hosts = {each.request_id: each.host for each in tries}
    arrivals = sorted(arrivals)
    found = []
    for span in spans:
        told: dict[str, float] = {}
        for at_s, request_id in limited[span.server_id]:
            if request_id in hosts and span.begin_s <= at_s < span.end_s:
                told.setdefault(hosts[request_id], at_s)
        times = [
            each.at_s
            for each in arrivals
            if each.server_id == span.server_id
            and span.begin_s <= each.at_s < span.end_s
            and (host := hosts.get(each.request_id)) in told
            and told[host] + notice_s <= each.at_s
            and not any(
                0 <= each.at_s - at_s < window_s
                for at_s in excused.get(host, ())
            )
        ]
        allowed = 1.5 * span.rate * window_s + 5
        most = max(
            (_count(times, end_s, window_s) for end_s in times), default=0
        )
        if most > allowed:
            found.append(f"{span.server_id}: {most} of {allowed:.0f}")
    return found


def find_unserved(
    tries: Iterable[Try],
    served: Mapping[str, bool],
    cuts: Iterable[HostCut],
    excused: dict[str, list[float]],
    *,
    contact_s: float,
) -> list[str]:
    """Returns the cuts in which callers of the hosts were not served.

    That is, less than two thirds as often as those of the other hosts, and more
    than 10 and one in 50 of all tries failed there.

    Args:
      tries: The first tries of callers.
      served: Whether each of them was served, by its id.
      cuts: The cuts.
      excused: Times at which hosts were ended, started, frozen or woken, by
        host.  What was sent to them within the contact time before or after
        does not count.
      contact_s: Time after the beginning of a cut from which tries count.
    """
    tries = [
        each
        for each in tries
        if not any(
            abs(at_s - each.sent_s) < contact_s
            for at_s in excused.get(each.host, ())
        )
    ]
    found = []
    for cut in cuts:
        sent = {True: 0, False: 0}
        answered = {True: 0, False: 0}
        for each in tries:
            if cut.begin_s + contact_s <= each.sent_s < cut.end_s:
                is_cut = each.host in cut.hosts
                sent[is_cut] += 1
                answered[is_cut] += served[each.request_id]
        failed = sent[True] - answered[True]
        if (
            3 * answered[True] * sent[False] < 2 * answered[False] * sent[True]
            and failed > 10 + sum(sent.values()) / 50
        ):
            found.append(
                f"{answered[True]} of {sent[True]} at {sorted(cut.hosts)}, "
                f"{answered[False]} of {sent[False]} at the others"
            )
    return found


def find_force_s(
    changed_s: float,
    disturbances: Iterable[float],
    *,
    apply_s: float,
    rest_s: float,
) -> float:
    """Returns when a change of the configuration has to be in force everywhere.

    Args:
      changed_s: Monotonic time at which it was published.
      disturbances: Monotonic times of all disturbances.
      apply_s: Time limit without disturbances, seconds.
      rest_s: Time after a disturbance after which the limit holds, seconds.
    """
    force_s = changed_s + apply_s
    for at_s in sorted(disturbances):
        if changed_s - rest_s <= at_s <= force_s:
            force_s = max(force_s, at_s + rest_s)
    return force_s


def find_wrong_identities(
    identities: Iterable[fake_server.Identity],
    uses: Mapping[str, KeyUse],
    keys: Mapping[str, Key],
    disturbances: Sequence[float],
    *,
    apply_s: float,
    rest_s: float,
) -> list[str]:
    """Returns what reached servers under a wrong name or without a valid key.

    Args:
      identities: What all requests at servers tell of their callers.
      uses: The key of each try, by its id.
      keys: All keys that callers use.
      disturbances: Monotonic times of all disturbances.
      apply_s: Time limit for a configuration to be in force, seconds.
      rest_s: Time after a disturbance after which it holds again, seconds.
    """
    found = []
    for each in identities:
        if each.has_credential:
            found.append(f"{each.request_id}: credential")
        if each.request_id not in uses:
            if each.names:
                found.append(f"{each.request_id}: {each.names}")
            continue
        use = uses[each.request_id]
        key = keys[use.key]
        if key.tenant is None:
            found.append(f"{each.request_id}: unknown key")
        elif each.names != (key.tenant,):
            found.append(f"{each.request_id}: {each.names}")
        elif use.sent_s > find_force_s(
            key.withdrawn_s, disturbances, apply_s=apply_s, rest_s=rest_s
        ):
            found.append(f"{each.request_id}: withdrawn key")
    return found


def find_quota_excess(
    arrivals: Iterable[Arrival],
    uses: Mapping[str, KeyUse],
    keys: Mapping[str, Key],
    quotas: Mapping[str, Quota],
    *,
    window_s: float,
    excess: float,
    slack: float,
) -> list[str]:
    """Returns the tenants of which servers got too many requests in a window.

    A request counts once, when its first attempt arrives.

    Args:
      arrivals: All arrivals at backend servers.
      uses: The key of each try, by its id.
      keys: All keys that callers use.
      quotas: The quotas by tenant.
      window_s: Length of the window, seconds.
      excess: Share of the quota that is allowed beyond it.
      slack: Requests that are allowed beyond that.
    """
    first_s: dict[str, float] = {}
    for arrival in sorted(arrivals):
        first_s.setdefault(arrival.request_id, arrival.at_s)
    times: dict[str, list[float]] = {}
    for request_id, at_s in sorted(first_s.items(), key=lambda item: item[1]):
        if request_id in uses:
            tenant = keys[uses[request_id].key].tenant
            times.setdefault(tenant, []).append(at_s)
    found = []
    for tenant, quota in quotas.items():
        allowed = (quota.rate * window_s + quota.burst) * (1.0 + excess) + slack
        most = max(
            (
                _count(times[tenant], end_s, window_s)
                for end_s in times.get(tenant, ())
            ),
            default=0,
        )
        if most > allowed:
            found.append(f"{tenant}: {most} of {allowed:.0f}")
    return found


def _count(times: Sequence[float], end_s: float, window_s: float) -> int:
    """Returns the number of sorted times in a window that ends at a time."""
    return bisect.bisect_right(times, end_s) - bisect.bisect_right(
        times, end_s - window_s
    )
