"""What the metrics read from the parts of a daemon at each scrape."""

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

Read = Callable[[], Iterable[metrics_module.Reading]]


def register(
    metrics: metrics_module.Metrics,
    *,
    keeper: rollout.ConfigurationKeeper,
    membership: memberships.Membership,
    ownership: ownerships.Ownership,
    coordinator: query.QueryCoordinator,
    executor: executors.ServiceExecutor,
    platform: platforms.PlatformClient,
    invariants: invariants_module.Invariants,
) -> None:
    """Registers every gauge and counter that is read at a scrape.

    Args:
      metrics: Where to register them.
      keeper: The configuration in force.
      membership: The entry hosts.
      ownership: The owned services.
      coordinator: The queries.
      executor: The owner side.
      platform: The calls to the platform.
      invariants: The promises.
    """
    gauge = metrics_module.Gauge
    count = metrics_module.Count
    gauges: dict[metrics_module.Gauge, Read] = {
        gauge.CONFIGURATION_VERSION: _read_one(lambda: keeper.version),
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
        metrics.observe(each, read)
    counts: dict[metrics_module.Count, Read] = {
        count.SHEDS: _read_services(executor, "sheds"),
        count.STORE_CALLS: _read_mapping("sort", lambda: platform.counts),
        count.CONTROL_BYTES: _read_mapping(
            "direction", lambda: _choose_bytes(membership.counts)
        ),
        count.INVARIANT_CHECKS: _read_mapping(
            "promise", lambda: _name_promises(invariants.checks)
        ),
        count.INVARIANT_BREACHES: _read_mapping(
            "promise", lambda: _name_promises(invariants.breaches)
        ),
    }
    for each, read in counts.items():
        metrics.count(each, read)


def _read_one(read: Callable[[], float]) -> Read:
    """Reads a single value without labels."""
    return lambda: [metrics_module.Reading(read(), {})]


def _read_services(executor: executors.ServiceExecutor, field: str) -> Read:
    """Reads one field of the totals of each owned service."""
    return lambda: [
        metrics_module.Reading(
            getattr(totals, field), {"service": totals.service}
        )
        for totals in executor.read_totals()
    ]


def _read_mapping(label: str, read: Callable[[], Mapping[str, float]]) -> Read:
    """Reads each value of a mapping, its key as a label."""
    return lambda: [
        metrics_module.Reading(value, {label: key})
        for key, value in read().items()
    ]


def _choose_bytes(counts: Mapping[str, int]) -> dict[str, int]:
    """Returns the bytes of heartbeats by direction."""
    return {
        "sent": counts.get("bytes_sent", 0),
        "received": counts.get("bytes_received", 0),
    }


def _name_promises(
    counts: Mapping[invariants_module.Promise, int],
) -> dict[str, int]:
    """Returns counts by the promise's name in lower case."""
    return {promise.name.lower(): total for promise, total in counts.items()}
