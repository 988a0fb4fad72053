"""Tests of the metrics in text format, parsed by the Prometheus library."""

from prometheus_client import parser

from eelgrasshall.gateway import metrics


def test_rendered_metrics_can_be_parsed():
    recorded = metrics.Metrics()
    recorded.count("hedges")
    for duration_s in (0.005, 0.03, 0.03, 99.0):
        recorded.record_request("answered", duration_s)
    text = recorded.render({"servers": 12}).decode()
    values = {
        (sample.name, sample.labels.get("le")): sample.value
        for family in parser.text_string_to_metric_families(text)
        for sample in family.samples
    }
    assert values["eelgrasshall_hedges_total", None] == 1
    assert values["eelgrasshall_requests_answered_total", None] == 4
    assert values["eelgrasshall_servers", None] == 12
    assert values["eelgrasshall_request_seconds_bucket", "0.01"] == 1
    assert values["eelgrasshall_request_seconds_bucket", "0.05"] == 3
    assert values["eelgrasshall_request_seconds_bucket", "+Inf"] == 4
    assert values["eelgrasshall_request_seconds_count", None] == 4
