"""Callbacks that read the components of a daemon at each scrape."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping

from eelgrasshall import invariants as invariants_module
from eelgrasshall import metrics as metrics_module
from eelgrasshall.coordination import executor as executors
from eelgrasshall.coordination import membership as memberships
from eelgrasshall.coordination import ownership as ownerships
from eelgrasshall.coordination import query
from eelgrasshall.coordination import rollout
from eelgrasshall.transport import platform as platforms

Read = Callable[[], Iterable[metrics_module.Sample]]


def register(
    metrics: metrics_module.Metrics,
    *,
    configuration_manager: rollout.ConfigurationManager,
    membership: memberships.Membership,
    ownership: ownerships.Ownership,
    coordinator: query.QueryCoordinator,
    executor: executors.ServiceExecutor,
    platform: platforms.PlatformClient,
    invariants: invariants_module.InvariantChecker,
) -> None:
    """Registers every gauge and counter that is read at a scrape.

    Args:
      metrics: The metrics to register them with.
      configuration_manager: Source of the configuration version.
      membership: Source of the entry hosts and the heartbeat traffic.
      ownership: Source of the owned services.
      coordinator: Source of the queries in flight.
      executor: Source of queues, slots and cold backend servers.
      platform: Source of the calls to the platform.
      invariants: Source of the invariants' checks and breaches.
    """
    gauge = metrics_module.Gauge
    counter = metrics_module.Counter
    gauges: dict[metrics_module.Gauge, Read] = {
        gauge.CONFIGURATION_VERSION: _read_one(
            lambda: configuration_manager.version
        ),
        gauge.MEMBERS: _read_one(lambda: len(membership.members())),
        gauge.OWNED_SERVICES: _read_one(lambda: len(ownership.owned())),
        gauge.IN_FLIGHT: _read_one(lambda: coordinator.in_flight),
        gauge.QUARANTINED: _read_one(executor.count_quarantined),
        gauge.WATCHES: _read_one(lambda: platform.dump()["watches_waiting"]),
        gauge.QUEUE_LENGTH: _read_services(executor, "waiting"),
        gauge.SLOTS_IN_USE: _read_services(executor, "slots_in_use"),
        gauge.COLD_SERVERS: _read_services(executor, "cold"),
    }
    for each, read in gauges.items():
        metrics.register_gauge(each, read)
    counters: dict[metrics_module.Counter, Read] = {
        counter.SHEDS: _read_services(executor, "sheds"),
        counter.STORE_CALLS: _read_mapping("sort", lambda: platform.counts),
        counter.CONTROL_BYTES: _read_mapping(
            "direction", lambda: _get_heartbeat_bytes(membership.counts)
        ),
        counter.INVARIANT_CHECKS: _read_mapping(
            "promise", lambda: _format_invariant_counts(invariants.checks)
        ),
        counter.INVARIANT_BREACHES: _read_mapping(
            "promise", lambda: _format_invariant_counts(invariants.breaches)
        ),
    }
    for each, read in counters.items():
        metrics.register_counter(each, read)


def _read_one(read: Callable[[], float]) -> Read:
    """Returns a callback that reads a single value without labels."""
    return lambda: [metrics_module.Sample(read(), {})]


def _read_services(executor: executors.ServiceExecutor, field: str) -> Read:
    """Returns a callback that reads a field of each service's totals."""
    return lambda: [
        metrics_module.Sample(
            getattr(totals, field), {"service": totals.service}
        )
        for totals in executor.read_totals()
    ]


def _read_mapping(label: str, read: Callable[[], Mapping[str, float]]) -> Read:
    """Returns a callback that reads a mapping, with its keys as a label."""
    return lambda: [
        metrics_module.Sample(value, {label: key})
        for key, value in read().items()
    ]


def _get_heartbeat_bytes(counts: Mapping[str, int]) -> dict[str, int]:
    """Returns the bytes of heartbeats by direction."""
    return {
        "sent": counts.get("bytes_sent", 0),
        "received": counts.get("bytes_received", 0),
    }


def _format_invariant_counts(
    counts: Mapping[invariants_module.Invariant, int],
) -> dict[str, int]:
    """Returns the counts by the invariant's name in lower case."""
    return {
        invariant.name.lower(): total for invariant, total in counts.items()
    }
