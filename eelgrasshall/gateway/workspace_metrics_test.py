"""Tests of metrics per workspace."""

from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import workspace_metrics


def test_counters_have_the_workspace_as_label():
    counters = workspace_metrics.WorkspaceMetrics()
    assert counters.render() == b""
    acme = fakes.make_workspace("acme", "k-1")
    quoted = fakes.make_workspace('a"b\\c', "k-2")
    for _ in range(2):
        counters.add(workspace_metrics.RECEIVED, acme)
    counters.add(workspace_metrics.WAITED_S, acme, 0.0125)
    counters.add(workspace_metrics.RECEIVED, quoted)
    counters.add(workspace_metrics.RECEIVED, None)
    counters.count_unauthorized()
    assert counters.render().decode().splitlines() == [
        'eelgrasshall_workspace_requests_received_total{workspace="a\\"b\\\\c"}'
        " 1",
        'eelgrasshall_workspace_requests_received_total{workspace="acme"} 2',
        "eelgrasshall_workspace_requests_unauthorized_total 1",
        'eelgrasshall_workspace_wait_seconds_total{workspace="acme"} 0.013',
    ]


def test_number_of_labels_is_bounded_and_nothing_is_lost():
    # Workspaces that come and go must not fill the metrics of a long-lived
    # process.
    counters = workspace_metrics.WorkspaceMetrics()
    for number in range(1000):
        workspace = fakes.make_workspace(f"w{number}")
        counters.add(workspace_metrics.RECEIVED, workspace)
    lines = counters.render().decode().splitlines()
    assert len(lines) == workspace_metrics.MAX_LABELS + 1
    assert sum(int(line.rsplit(" ", 1)[1]) for line in lines) == 1000
    rest = 1000 - workspace_metrics.MAX_LABELS
    assert f'{{workspace="other"}} {rest}' in "\n".join(lines)
