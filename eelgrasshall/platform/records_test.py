"""Tests of decoding the store's objects."""

import contextlib
import copy

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import belief
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.platform import records

_SERVER = {
    "service": "orders",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "coldLeftMs": 1500,
    "seqNum": 4,
    "born": 77,
}
_CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "search",
            "host": "Orders.Example",
            "pathPrefix": "/s/",
            "routeType": "idempotent",
            "timeoutMs": 800,
            "goalMs": 95,
            "priority": 2,
            "gather": ["one", "two"],
            "maxAttempts": 2,
            "topN": 5,
            "minShare": 0.75,
        },
        {
            "name": "single",
            "host": "orders.example",
            "pathPrefix": "/r/",
            "routeType": "non_idempotent",
            "timeoutMs": 8000,
            "goalMs": 841,
            "priority": 1,
            "split": [
                {"service": "one", "weight": 3},
                {"service": "two", "weight": 1},
            ],
            "maxAttempts": 1,
        },
    ],
    "services": [
        {
            "name": "one",
            "healthPath": "/health",
            "maxConns": 46,
            "protocol": "h1",
            "tls": False,
            "coldS": 3.0,
            "coldRateS": 2.5,
        }
    ],
    "limits": {
        "headerBytes": 16384,
        "bodyBytes": 262144,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
}


def _decode(collection, spec, name="x"):
    return records.decode(collection, {"name": name, "spec": spec})


def test_a_server_says_how_long_it_stays_cold():
    server = _decode(belief.Collection.SERVERS, _SERVER, "i-1")
    assert server == model.Server(
        id="i-1",
        service="orders",
        address=model.Address("10.0.0.9", 8080),
        zone="a",
        slots=6,
        draining=False,
        cold_remaining_s=1.5,
        started_at_ms=77,
    )


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("state", "sleeping"),
        ("service", 5),
        ("service", ""),
        ("address", "10.0.0.9"),
        ("address", "10.0.0.9:x"),
        ("slots", "six"),
        ("slots", -1),
        ("slots", True),
        ("coldLeftMs", None),
    ],
)
def test_an_entry_of_another_writer_names_no_server(field, value):
    with pytest.raises(records.UnreadableError):
        _decode(belief.Collection.SERVERS, {**_SERVER, field: value})
    without = copy.deepcopy(_SERVER)
    del without[field]
    with pytest.raises(records.UnreadableError):
        _decode(belief.Collection.SERVERS, without)


@given(
    spec=strategies.recursive(
        strategies.none()
        | strategies.booleans()
        | strategies.integers()
        | strategies.text(max_size=5),
        lambda inner: (
            strategies.lists(inner, max_size=3)
            | strategies.dictionaries(
                strategies.sampled_from([*_SERVER, *_CONFIGURATION]),
                inner,
                max_size=8,
            )
        ),
        max_leaves=12,
    ),
    collection=strategies.sampled_from(belief.Collection),
)
def test_whatever_lies_in_the_store_decodes_or_is_unreadable(spec, collection):
    with contextlib.suppress(records.UnreadableError):
        _decode(collection, spec)


def test_a_configuration_is_decoded_whole():
    decoded = _decode(belief.Collection.CONFIGURATION, _CONFIGURATION)
    search, single = decoded.routes
    assert decoded.version == 7
    assert (search.host, search.shards) == ("orders.example", ("one", "two"))
    assert (search.timeout_s, search.objective_s) == (0.8, 0.095)
    assert (search.top_n, search.min_share) == (5, 0.75)
    assert search.idempotent and not single.idempotent
    assert single.split == (
        model.WeightedService("one", 3.0),
        model.WeightedService("two", 1.0),
    )
    assert decoded.services["one"].cold_rate_per_s == 2.5
    assert decoded.limits.header_timeout_s == 3.0


def test_a_host_comes_back_as_it_was_published():
    host = fakes.make_host()
    spec = records.encode_host(host)
    assert _decode(belief.Collection.HOSTS, spec, host.name) == host
