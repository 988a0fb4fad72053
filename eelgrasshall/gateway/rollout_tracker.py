"""Connects the decisions on rollouts with the servers, the log and the metrics.

Servers report the ends of attempts here, hosts the counts of others.  Whenever
a phase changes, the registry chooses the servers of each service anew.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import math
from typing import Any

from eelgrasshall.gateway import attempts
from eelgrasshall.gateway import events
from eelgrasshall.gateway import hedging
from eelgrasshall.gateway import messages
from eelgrasshall.gateway import model
from eelgrasshall.gateway import registry as registry_module
from eelgrasshall.gateway import rollout_gossip
from eelgrasshall.gateway import rollouts
from eelgrasshall.gateway import upstream

# Interval between log lines on the course of a rollout.
PROGRESS_INTERVAL_S = 2.0
# Most orders with metrics of their own.
MAX_LABELS = 20


class RolloutTracker:
    """Follows the orders of this host.

    Args:
      orders: The decisions.
      registry: The servers.
      loop: The event loop.
      log: The structured log.
      count: Increments a named counter.
    """

    def __init__(
        self,
        *,
        orders: rollouts.Rollouts,
        registry: registry_module.Registry,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        count: Callable[[str], None],
    ):
        self.orders = orders
        self._registry = registry
        self._loop = loop
        self._log = log
        self._count = count
        # Latencies of the old version, by service and route.
        self._latencies: dict[tuple[str, str], hedging.LatencyWindow] = {}
        self._progress_s = -math.inf
        registry.set_version_policy(
            orders.choose_versions, on_outcome=self._record_outcome
        )

    def set_order(
        self, service: str, rollout: model.Rollout | None, revision: int
    ) -> None:
        """Sets the order of a service; None if it was deleted."""
        self.orders.set_order(service, rollout, revision, self._loop.time())
        self._apply_changes()

    def set_share(self, share: float) -> None:
        """Sets this host's share of the fixed part of the exposure bound."""
        self.orders.set_share(share, self._loop.time())

    def take_trial_servers(self, service: str) -> Sequence[upstream.Backend]:
        """Implements `fanout.Context.take_trial_servers`."""
        now = self._loop.time()
        servers = [
            backend
            for backend in self._registry.find_trial_servers(service)
            if backend.can_accept(now)
        ]
        if self.orders.take_trial(service, now, available=bool(servers)):
            self._count("rollout_trials")
            return servers
        return ()

    def update(self) -> None:
        """Advances the orders; has to be called several times in a second."""
        now = self._loop.time()
        self.orders.update(
            now,
            {
                service: self._registry.count_pending_old(service)
                for service in self.orders.list_phases()
            },
        )
        self._apply_changes()
        if now - self._progress_s >= PROGRESS_INTERVAL_S:
            self._progress_s = now
            for change, own in self.orders.describe(now):
                if not own["ended"]:
                    self._log_change("rollout_progress", change, **own)

    def build_datagram(self) -> bytes | None:
        """Returns what other hosts should know now; None if that is nothing."""
        now = self._loop.time()
        reports = self.orders.list_gossip(now)
        if not reports:
            return None
        datagram, sent = rollout_gossip.encode(reports)
        self.orders.mark_sent(sent, now)
        return datagram

    def merge(self, reports: Iterable[rollouts.Report]) -> None:
        """Adds what another host has passed on."""
        self.orders.merge(reports, self._loop.time())
        self._apply_changes()

    def list_gauges(self) -> dict[str, float]:
        """Returns the metrics of each order, with its service as a label."""
        gauges = {}
        for change, own in self.orders.describe(self._loop.time())[:MAX_LABELS]:
            counts = change.counts
            phase = -1 if change.phase is None else int(change.phase)
            values = {
                "phase": phase,
                "requests": own["requests"],
                "trials": own["trials"],
                "target_answers": counts.target,
                "target_failed": counts.target_failed,
                "target_slow": counts.target_slow,
                "old_answers": counts.old,
                "old_failed": counts.old_failed,
                "old_slow": counts.old_slow,
                "score": round(change.score, 2),
                "counts_age_seconds": round(change.oldest_s, 2),
            }
            label = change.service.replace("\\", "\\\\").replace('"', '\\"')
            label = label.replace("\n", "\\n")
            for name, value in values.items():
                gauges[f'rollout_{name}{{service="{label}"}}'] = value
        return gauges

    def _record_outcome(
        self,
        backend: upstream.Backend,
        attempt: attempts.Attempt,
        outcome: messages.Reply | messages.Failure | None,
    ) -> None:
        """Counts the end of an attempt at a server."""
        service = backend.server.service
        if not self.orders.is_counted(service):
            return
        now = self._loop.time()
        took_s = now - attempt.sent_s
        key = (service, attempt.route_name)
        latencies = self._latencies.get(key)
        if latencies is None:
            latencies = self._latencies[key] = hedging.LatencyWindow(
                initial_latency_s=attempt.expected_latency_s
            )
        is_slow = took_s > rollouts.SLOW_FACTOR * latencies.quantile(0.5)
        answer = classify(outcome, is_slow=is_slow)
        if answer is None or (
            # Any version is slow while it is cold.
            answer is rollouts.Answer.SLOW
            and attempt.sent_s < backend.cold_until_s
        ):
            return
        version = backend.server.version
        self.orders.record_answer(
            service, attempt.route_name, version, answer, now
        )
        if answer is not rollouts.Answer.FAILED and (
            not self.orders.is_target(service, version)
        ):
            latencies.record(took_s)
        self._apply_changes()

    def _apply_changes(self) -> None:
        """Logs changes of phases and lets the registry choose servers anew."""
        changes = self.orders.take_changes()
        for change in changes:
            self._log_change("rollout", change)
            phase = "removed" if change.phase is None else change.phase.name
            self._count(f"rollout_phase_{phase.lower()}")
        for service in {each.service for each in changes}:
            self._registry.refresh_versions(service)

    def _log_change(
        self, event: str, change: rollouts.Change, **own: Any
    ) -> None:
        """Logs the state of an order with the inputs of its verdict."""
        self._log.record(
            event,
            service=change.service,
            target=change.target_version,
            phase=change.phase.name.lower() if change.phase is not None else "",
            reason=change.reason,
            score=round(change.score, 2),
            limit=rollouts.BAD_SCORE,
            route=change.route,
            kind=change.kind,
            old_rate=round(change.old_rate, 3),
            counts=change.counts._asdict(),
            oldest_counts_s=round(change.oldest_s, 2),
            **{name: round(value, 2) for name, value in own.items()},
        )


def classify(
    outcome: messages.Reply | messages.Failure | None, *, is_slow: bool
) -> rollouts.Answer | None:
    """Returns how an attempt ended; None if that says nothing of the server.

    A refusal is no answer: cold servers refuse what exceeds their rate.

    Args:
      outcome: The outcome; None if the attempt was aborted here.
      is_slow: Whether it has taken several times as long as usual.
    """
    if outcome is None:
        return rollouts.Answer.SLOW if is_slow else None
    if outcome.not_run:
        return None
    if isinstance(outcome, messages.Reply) and outcome.succeeded:
        return rollouts.Answer.SLOW if is_slow else rollouts.Answer.GOOD
    return rollouts.Answer.FAILED
