"""Tests of the callbacks that read the components at a scrape."""

import collections
import types

from eelgrasshall import invariants as invariants_module
from eelgrasshall import metric_callbacks
from eelgrasshall import metrics as metrics_module
from eelgrasshall.coordination import executor as executors


def test_scrape_shows_values_of_all_components():
    metrics = metrics_module.Metrics(name="entry-1")
    invariants = invariants_module.InvariantChecker(raising=False)
    totals = [executors.ServiceTotals("orders", 4, 3, 2, 1)]
    metric_callbacks.register(
        metrics,
        configuration_manager=types.SimpleNamespace(version=7),
        membership=types.SimpleNamespace(
            members=lambda: ("a", "b"),
            counts=collections.Counter(bytes_sent=300, met=2),
        ),
        ownership=types.SimpleNamespace(owned=lambda: {"orders"}),
        coordinator=types.SimpleNamespace(in_flight=5),
        executor=types.SimpleNamespace(
            read_totals=lambda: totals, count_quarantined=lambda: 6
        ),
        platform=types.SimpleNamespace(
            counts=collections.Counter(reads=8),
            dump=lambda: {"watches_waiting": 9},
        ),
        invariants=invariants,
    )
    invariants.check(invariants_module.Invariant.ONE_OUTCOME, False)
    lines = metrics.render().decode().splitlines()
    for expected in (
        "configuration_version 7.0",
        "members 2.0",
        "owned_services 1.0",
        "queries_in_flight 5.0",
        "quarantined_requests 6.0",
        "store_watches 9.0",
        'queue_length{service="orders"} 4.0',
        'slots_in_use{service="orders"} 3.0',
        'cold_servers{service="orders"} 2.0',
        'sheds_total{service="orders"} 1.0',
        'store_calls_total{sort="reads"} 8.0',
        'control_bytes_total{direction="sent"} 300.0',
        'control_bytes_total{direction="received"} 0.0',
        'invariant_breaches_total{promise="one_outcome"} 1.0',
    ):
        assert f"eelgrasshall_{expected}" in lines
