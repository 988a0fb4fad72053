"""Tests of the metrics as a scrape shows them."""

from prometheus_client import parser

from eelgrasshall import metrics


def _scrape(instruments):
    text = instruments.render().decode()
    return {
        (sample.name, tuple(sorted(sample.labels.items()))): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }


def test_recorded_events_are_scraped_with_their_labels():
    instruments = metrics.Metrics(name="entry-1")
    instruments.record_query("orders", "complete", 0.04, 1.0)
    instruments.record_query("orders", "not_run", 0.001, None)
    instruments.record_sub_request("orders-1", 0.02, hedges=1, retries=0)
    samples = _scrape(instruments)
    service = (("service", "orders-1"),)
    kind = (("kind", "orders"),)
    assert samples["eelgrasshall_query_latency_seconds_count", kind] == 2
    assert samples["eelgrasshall_coverage_count", kind] == 1
    assert samples["eelgrasshall_hedges_total", service] == 1
    assert ("eelgrasshall_retries_total", service) not in samples


def test_service_latency_has_cumulative_buckets():
    instruments = metrics.Metrics(name="entry-1")
    for latency_s in (0.004, 0.005, 0.04, 99.0):
        instruments.record_sub_request("orders-1", latency_s, 0, 0)
    samples = _scrape(instruments)
    bucket = "eelgrasshall_service_latency_bucket_total"
    counts = {
        dict(labels)["le"]: value
        for (name, labels), value in samples.items()
        if name == bucket
    }
    assert (counts["0.005"], counts["0.05"], counts["+Inf"]) == (2, 3, 4)
    assert len(counts) == len(metrics.LATENCY_BOUNDS_S) + 1
    service = (("service", "orders-1"),)
    total = samples["eelgrasshall_service_latency_sum_seconds_total", service]
    assert round(total, 3) == 99.049


def test_latency_of_services_no_longer_owned_is_dropped():
    instruments = metrics.Metrics(name="entry-1")
    for service in ("orders-1", "orders-2"):
        instruments.record_sub_request(service, 0.1, 0, 0)
    _scrape(instruments)
    instruments.drop_unowned_services(frozenset({"orders-2"}))
    name = "eelgrasshall_service_latency_sum_seconds_total"
    services = {
        dict(labels)["service"]
        for each, labels in _scrape(instruments)
        if each == name
    }
    assert services == {"orders-2"}


def test_registered_gauge_is_read_at_each_scrape():
    instruments = metrics.Metrics(name="entry-1")
    servers = {"a": 1.0}
    instruments.register_gauge(
        metrics.Gauge.SLOTS_IN_USE,
        lambda: [metrics.Sample(v, {"server": k}) for k, v in servers.items()],
    )
    name = "eelgrasshall_slots_in_use"
    assert _scrape(instruments)[name, (("server", "a"),)] == 1.0
    servers["a"] = 2.0
    assert _scrape(instruments)[name, (("server", "a"),)] == 2.0
    del servers["a"]
    assert (name, (("server", "a"),)) not in _scrape(instruments)


def test_registered_counter_is_read_at_each_scrape():
    instruments = metrics.Metrics(name="entry-1")
    totals = {"sent": 300}
    instruments.register_counter(
        metrics.Counter.CONTROL_BYTES,
        lambda: [
            metrics.Sample(v, {"direction": k}) for k, v in totals.items()
        ],
    )
    name = "eelgrasshall_control_bytes_total"
    assert _scrape(instruments)[name, (("direction", "sent"),)] == 300
    totals["sent"] = 400
    assert _scrape(instruments)[name, (("direction", "sent"),)] == 400


def test_instances_do_not_share_state():
    one = metrics.Metrics(name="entry-1")
    two = metrics.Metrics(name="entry-2")
    one.record_sub_request("orders-1", 0.1, 1, 0)
    assert not any("hedges" in name for name, _ in _scrape(two))
    assert any("hedges" in name for name, _ in _scrape(one))
