"""OpenTelemetry metrics of one process.

`Metrics` has its own meter provider and Prometheus registry instead of the
global ones, so that a process can have several instances.  Components record
events through its methods.  Values that can be read at any time are
registered once with a callback and cost nothing between scrapes.
"""

import bisect
from collections.abc import Callable
from collections.abc import Iterable
import enum
import itertools
import resource
from typing import NamedTuple

from opentelemetry import metrics as otel
from opentelemetry.exporter import prometheus as otel_prometheus
from opentelemetry.sdk import metrics as otel_sdk
from opentelemetry.sdk import resources as otel_resources
from opentelemetry.sdk.metrics import view as otel_view
import prometheus_client

LATENCY_BOUNDS_S = (
    0.005,
    0.01,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.18,
    0.25,
    0.5,
    1.0,
    2.5,
    10.0,
)
COVERAGE_BOUNDS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999999)
BYTES_PER_KIB = 1024


class Gauge(enum.Enum):
    """Gauges that are read at a scrape; name and description."""

    SLOTS_IN_USE = (
        "slots_in_use",
        "Slots of owned backend servers in use.",
    )
    COLD_SERVERS = ("cold_servers", "Owned backend servers that are cold.")
    QUEUE_LENGTH = ("queue_length", "Sub-requests that wait for a slot.")
    OWNED_SERVICES = ("owned_services", "Services that this host owns.")
    QUARANTINED = ("quarantined_requests", "Requests in quarantine.")
    IN_FLIGHT = ("queries_in_flight", "Queries being answered.")
    CONFIGURATION_VERSION = (
        "configuration_version",
        "Version of the configuration in force.",
    )
    MEMBERS = ("members", "Usable entry hosts as seen here.")
    WATCHES = ("store_watches", "Watches that wait at the platform's store.")


class Counter(enum.Enum):
    """Counters that other components keep; name and description."""

    SHEDS = ("sheds", "Attempts that a backend server shed.")
    STORE_CALLS = ("store_calls", "Calls to the platform, by sort.")
    CONTROL_BYTES = ("control_bytes", "Bytes of heartbeats, by direction.")
    INVARIANT_CHECKS = ("invariant_checks", "Checks of each promise.")
    INVARIANT_BREACHES = ("invariant_breaches", "Breaches of each promise.")


class Sample(NamedTuple):
    """One value of a gauge or counter.

    Attributes:
      value: The current value.
      labels: The label values by label name.
    """

    value: float
    labels: dict[str, str]


class Metrics:
    """The instruments of one process.

    Args:
      name: Name of this entry host.
    """

    def __init__(self, *, name: str):
        self._registry = prometheus_client.CollectorRegistry()
        reader = otel_prometheus.PrometheusMetricReader(
            disable_target_info=True,
            prefix="eelgrasshall",
            scope_info_enabled=False,
            registry=self._registry,
        )
        self._provider = otel_sdk.MeterProvider(
            metric_readers=[reader],
            resource=otel_resources.Resource({"service.instance.id": name}),
            exemplar_filter=otel_sdk.AlwaysOffExemplarFilter(),
            shutdown_on_exit=False,
            views=_make_views(),
        )
        meter = self._provider.get_meter("eelgrasshall")
        self._meter = meter
        self._query_latency = meter.create_histogram(
            "query_latency", "s", "Time from a query to its outcome, by kind."
        )
        self._coverage = meter.create_histogram(
            "coverage", "", "Share of the key space that an answer covers."
        )
        self._outcomes = meter.create_counter(
            "outcomes", "", "Outcomes of queries, by kind."
        )
        self._service_latency: dict[str, _LatencyHistogram] = {}
        self._hedges = meter.create_counter("hedges", "", "Hedges sent.")
        self._retries = meter.create_counter("retries", "", "Retries sent.")
        self._create_service_latency_counters()
        self._create_process_metrics()

    def record_query(
        self, kind: str, outcome: str, latency_s: float, coverage: float | None
    ) -> None:
        """Records the outcome of a query.

        Args:
          kind: The kind of request.
          outcome: The name of the outcome in responses.
          latency_s: Seconds from its arrival to its outcome.
          coverage: Share of the key space that the answer covers, None if
            there is no answer.
        """
        labels = {"kind": kind}
        self._query_latency.record(latency_s, labels)
        self._outcomes.add(1, {"kind": kind, "outcome": outcome})
        if coverage is not None:
            self._coverage.record(coverage, labels)

    def record_sub_request(
        self, service: str, latency_s: float, hedges: int, retries: int
    ) -> None:
        """Records a sub-request that the owner of its service has finished.

        Args:
          service: The service.
          latency_s: Seconds from its arrival at the owner to its result.
          hedges: Hedges sent for it.
          retries: Retries sent for it.
        """
        latencies = self._service_latency.get(service)
        if latencies is None:
            latencies = self._service_latency[service] = _LatencyHistogram()
        latencies.add(latency_s)
        labels = {"service": service}
        if hedges:
            self._hedges.add(hedges, labels)
        if retries:
            self._retries.add(retries, labels)

    def drop_unowned_services(self, owned: frozenset[str]) -> None:
        """Drops the latencies of services that this host no longer owns.

        Args:
          owned: The services that it owns.
        """
        for service in set(self._service_latency) - owned:
            del self._service_latency[service]

    def register_gauge(
        self, gauge: Gauge, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Registers the callback that reads a gauge at each scrape.

        Args:
          gauge: The gauge; each may be registered once.
          read: Returns its current values.
        """
        name, description = gauge.value
        self._create_gauge(name, "", description, read)

    def register_counter(
        self, counter: Counter, read: Callable[[], Iterable[Sample]]
    ) -> None:
        """Registers the callback that reads a counter at each scrape.

        Args:
          counter: The counter; each may be registered once.
          read: Returns its current totals.
        """
        name, description = counter.value
        self._create_counter(name, "", description, read)

    def render(self) -> bytes:
        """Formats all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def stop(self) -> None:
        """Shuts down the meter provider."""
        self._provider.shutdown()

    def _create_service_latency_counters(self) -> None:
        """Creates the latency histogram by service out of counters.

        Sub-requests are by far the most frequent event.  A histogram
        instrument costs several microseconds for each of them; counting them
        here and reading the counts at a scrape costs well below one.
        """
        name = "service_latency"
        self._create_counter(
            f"{name}_bucket",
            "",
            "Sub-requests that took at most `le` seconds, by service.",
            self._read_latency_buckets,
        )
        self._create_counter(
            f"{name}_sum",
            "s",
            "Time of sub-requests, by service.",
            self._read_latency_sums,
        )

    def _read_latency_buckets(self) -> list[Sample]:
        """Reads the cumulative latency buckets of each service."""
        bounds = [*map(str, LATENCY_BOUNDS_S), "+Inf"]
        return [
            Sample(total, {"service": service, "le": bound})
            for service, latencies in self._service_latency.items()
            for bound, total in zip(
                bounds, itertools.accumulate(latencies.counts), strict=True
            )
        ]

    def _read_latency_sums(self) -> list[Sample]:
        """Reads the sum of latencies of each service, in seconds."""
        return [
            Sample(latencies.sum_s, {"service": service})
            for service, latencies in self._service_latency.items()
        ]

    def _create_process_metrics(self) -> None:
        """Creates the metrics of this process's resource usage."""
        self._create_gauge(
            "processor_time",
            "s",
            "Processor time of this process since its start.",
            _read_processor_time,
        )
        self._create_gauge(
            "peak_memory",
            "By",
            "Most memory that this process has had resident.",
            _read_peak_memory,
        )

    def _create_gauge(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
    ) -> None:
        """Creates an observable gauge."""
        callback = _make_callback(read)
        self._meter.create_observable_gauge(name, [callback], unit, description)

    def _create_counter(
        self,
        name: str,
        unit: str,
        description: str,
        read: Callable[[], Iterable[Sample]],
    ) -> None:
        """Creates an observable counter."""
        callback = _make_callback(read)
        self._meter.create_observable_counter(
            name, [callback], unit, description
        )


class _LatencyHistogram:
    """Latency counts by bucket, not cumulative, and their sum in seconds."""

    def __init__(self):
        self.counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self.sum_s = 0.0

    def add(self, latency_s: float) -> None:
        """Adds one latency."""
        self.counts[bisect.bisect_left(LATENCY_BOUNDS_S, latency_s)] += 1
        self.sum_s += latency_s


def _make_callback(
    read: Callable[[], Iterable[Sample]],
) -> Callable[[otel.CallbackOptions], list[otel.Observation]]:
    """Wraps a read function as the callback of an instrument."""

    def observe(_: otel.CallbackOptions) -> list[otel.Observation]:
        return [otel.Observation(r.value, r.labels) for r in read()]

    return observe


def _make_views() -> list[otel_view.View]:
    """Returns the views that set the bucket bounds of the histograms."""
    bounds = {
        "query_latency": LATENCY_BOUNDS_S,
        "coverage": COVERAGE_BOUNDS,
    }
    return [
        otel_view.View(
            instrument_name=name,
            aggregation=otel_view.ExplicitBucketHistogramAggregation(each),
        )
        for name, each in bounds.items()
    ]


def _read_processor_time() -> list[Sample]:
    """Reads the user and system processor time in seconds."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [
        Sample(usage.ru_utime, {"mode": "user"}),
        Sample(usage.ru_stime, {"mode": "system"}),
    ]


def _read_peak_memory() -> list[Sample]:
    """Reads the peak resident memory in bytes."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return [Sample(usage.ru_maxrss * BYTES_PER_KIB, {})]
