"""Tests for decoding the objects of the platform's store."""

import contextlib
import copy

from hypothesis import given
from hypothesis import strategies
import pytest

from eelgrasshall.gateway import credentials
from eelgrasshall.gateway import fakes
from eelgrasshall.gateway import model
from eelgrasshall.gateway import object_cache
from eelgrasshall.platform import codec

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
    return codec.decode(collection, {"name": name, "spec": spec})


def test_decodes_server_with_remaining_cold_period():
    server = _decode(object_cache.Collection.SERVERS, _SERVER, "i-1")
    assert server == model.Server(
        id="i-1",
        service="orders",
        address=model.Address("10.0.0.9", 8080),
        zone="a",
        slots=6,
        draining=False,
        cold_remaining_s=1.5,
        started_at_ms=77,
        version="v1",
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
def test_rejects_malformed_server(field, value):
    with pytest.raises(codec.DecodeError):
        _decode(object_cache.Collection.SERVERS, {**_SERVER, field: value})
    incomplete = copy.deepcopy(_SERVER)
    del incomplete[field]
    with pytest.raises(codec.DecodeError):
        _decode(object_cache.Collection.SERVERS, incomplete)


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
    collection=strategies.sampled_from(object_cache.Collection),
)
def test_arbitrary_document_decodes_or_raises_decode_error(spec, collection):
    with contextlib.suppress(codec.DecodeError):
        _decode(collection, spec)


def test_decodes_every_part_of_configuration():
    decoded = _decode(object_cache.Collection.CONFIGURATION, _CONFIGURATION)
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


def test_encoded_host_decodes_to_itself():
    host = fakes.make_host()
    spec = codec.encode_host(host)
    assert _decode(object_cache.Collection.HOSTS, spec, host.name) == host


@pytest.mark.parametrize("field", ["slots", "coldLeftMs", "born"])
@pytest.mark.parametrize("value", [1e999, -1e999, float("nan"), 10**400])
def test_server_with_a_number_out_of_range_is_rejected(field, value):
    # One such entry ended the watch of all servers: the error was not one that
    # the reader expects.
    with pytest.raises(codec.DecodeError):
        codec.decode(
            object_cache.Collection.SERVERS,
            {"name": "s1", "spec": {**_SERVER, field: value}},
        )


_ODD_TEXTS = ["a\x00", "a\r\nX-Forged: 1", "\ud800", "x" * 257, "a\u2028b"]


@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("slots", 0),
        ("slots", 0.5),
        ("slots", 1e308),
        ("coldLeftMs", 1e308),
        ("born", 1e308),
        *[(f, t) for f in ("service", "zone", "address") for t in _ODD_TEXTS],
    ],
)
def test_server_that_states_what_cannot_be_meant_is_rejected(field, value):
    # Numbers of that size cannot be used as a delay, and such texts go into
    # headers, datagrams and metrics.
    with pytest.raises(codec.DecodeError):
        _decode(object_cache.Collection.SERVERS, {**_SERVER, field: value})


@pytest.mark.parametrize("collection", list(object_cache.Collection))
@pytest.mark.parametrize("name", [*_ODD_TEXTS, "", None, 5, []])
def test_object_with_an_odd_name_is_rejected(collection, name):
    specs = {
        object_cache.Collection.SERVERS: _SERVER,
        object_cache.Collection.CONFIGURATION: _CONFIGURATION,
        object_cache.Collection.HOSTS: codec.encode_host(fakes.make_host()),
        object_cache.Collection.EVACUATIONS: {},
        object_cache.Collection.ROLLOUTS: {**_ORDER, "service": name},
    }
    with pytest.raises(codec.DecodeError):
        _decode(collection, specs[collection], name)


@pytest.mark.parametrize("version", _ODD_TEXTS)
def test_server_with_an_odd_version_is_used_without_one(version):
    spec = {**_SERVER, "version": version}
    assert _decode(object_cache.Collection.SERVERS, spec).version == ""


@pytest.mark.parametrize("document", [{}, None, [], "x", {"name": "x"}])
def test_what_is_marked_as_unreadable_is_rejected(document):
    for collection in object_cache.Collection:
        with pytest.raises(codec.DecodeError):
            codec.decode(collection, document)


@pytest.mark.parametrize("field", ["cores", "linkMbps"])
@pytest.mark.parametrize("value", [0, -1, 1e308, True, "1"])
def test_host_of_an_odd_size_is_rejected(field, value):
    spec = {**codec.encode_host(fakes.make_host()), field: value}
    with pytest.raises(codec.DecodeError):
        _decode(object_cache.Collection.HOSTS, spec)


_ORDER = {"service": "huvo11a", "targetVersion": "v2", "periodS": 12}


def _decode_order(spec, status=None) -> model.Rollout:
    return codec.decode(
        object_cache.Collection.ROLLOUTS,
        {"name": "huvo11a", "spec": spec, "status": status},
    )


@pytest.mark.parametrize("state", model.RolloutState)
def test_decodes_the_order_of_a_rollout(state):
    rollout = model.Rollout("huvo11a", "v2", 12.0, state)
    status = None
    if state is not model.RolloutState.NEW:
        status = codec.encode_rollout_status(rollout)
    assert _decode_order(_ORDER, status) == rollout


def test_status_of_another_target_is_that_of_an_earlier_order():
    status = {"state": "rolled_back", "targetVersion": "v1"}
    assert _decode_order(_ORDER, status).state is model.RolloutState.NEW


@pytest.mark.parametrize(
    ("changes", "status"),
    [
        ({"service": "other"}, None),
        ({"service": ""}, None),
        ({"targetVersion": 2}, None),
        ({"targetVersion": None}, None),
        ({"periodS": 0}, None),
        ({"periodS": -1}, None),
        ({"periodS": "12"}, None),
        ({"periodS": float("nan")}, None),
        ({}, {"state": "paused", "targetVersion": "v2"}),
        ({}, {"targetVersion": "v2"}),
        ({}, "running"),
        ({}, {"state": [], "targetVersion": "v2"}),
    ],
)
def test_malformed_orders_are_rejected_as_a_whole(changes, status):
    with pytest.raises(codec.DecodeError):
        _decode_order(_ORDER | changes, status)


@pytest.mark.parametrize("version", [None, 5, ["v1"], {}])
def test_server_with_a_malformed_version_is_used_without_one(version):
    # Deployments without rollouts may have anything there.
    spec = _SERVER | {"version": version}
    server = _decode(object_cache.Collection.SERVERS, spec, "i-1")
    assert server.version == ""


_TENANTS = [
    {
        "name": "acme",
        "apiKeys": ["k-one-4f", "k-two-7a", "k-one-4f"],
        "priority": 2,
        "ratePerS": 21,
        "burst": 21.5,
    },
    {"name": "Zoo & Co", "apiKeys": []},
]


def _decode_tenants(tenants, **route):
    routes = [{**_CONFIGURATION["routes"][0], **route}]
    return _decode(
        object_cache.Collection.CONFIGURATION,
        {**_CONFIGURATION, "routes": routes, "tenants": tenants},
    )


def test_decodes_workspaces_with_digests_of_their_keys():
    decoded = _decode_tenants(_TENANTS, keyless=True)
    assert decoded.workspaces == {
        "acme": model.Workspace(
            name="acme",
            key_digests=frozenset(
                map(credentials.compute_digest, (b"k-one-4f", b"k-two-7a"))
            ),
            priority=2,
            rate_per_s=21.0,
            burst=21.5,
        ),
        "Zoo & Co": model.Workspace("Zoo & Co", frozenset()),
    }
    assert decoded.routes[0].keyless
    assert "k-one" not in repr(decoded)


def test_configuration_without_workspaces_needs_no_keys():
    decoded = _decode(object_cache.Collection.CONFIGURATION, _CONFIGURATION)
    assert decoded.workspaces is None
    assert not any(route.keyless for route in decoded.routes)
    assert _decode_tenants([]).workspaces == {}


@pytest.mark.parametrize(
    ("tenants", "reason"),
    [
        (None, "tenants is not a list"),
        ({"name": "acme"}, "tenants is not a list"),
        (["k-secret"], "tenants[0] is not an object"),
        ([{"apiKeys": []}], "tenants[0].name"),
        ([{"name": "acme"}], "tenants[0].apiKeys"),
        ([{"name": "acme", "apiKeys": "k-secret"}], "tenants[0].apiKeys"),
        ([{"name": "acme", "apiKeys": {"k-secret": 1}}], "tenants[0].apiKeys"),
        ([{"name": "", "apiKeys": []}], "tenants[0].name"),
        ([{"name": 5, "apiKeys": []}], "tenants[0].name"),
        ([{"name": " k-secret", "apiKeys": []}], "tenants[0].name"),
        ([{"name": "k-secret\n", "apiKeys": []}], "tenants[0].name"),
        ([{"name": "k-secret\r\nX: y", "apiKeys": []}], "tenants[0].name"),
        ([{"name": "k-secr\u00e9t", "apiKeys": []}], "tenants[0].name"),
        ([{"name": "k-secret" * 40, "apiKeys": []}], "tenants[0].name"),
        (
            [{"name": "acme", "apiKeys": [each]} for each in ("a", "b")],
            "tenants[1].name is used twice",
        ),
        (
            [
                {"name": "a", "apiKeys": ["k-secret"]},
                {"name": "b", "apiKeys": []},
                {"name": "c", "apiKeys": ["k-other", "k-secret"]},
            ],
            "tenants[0] and tenants[2] have a key in common",
        ),
        *(
            ([{"name": "acme", "apiKeys": ["k-ok", key]}], "apiKeys[1]")
            for key in (
                "",
                None,
                7,
                ["k-secret"],
                "k-secret k",
                "k-secret\n",
                "k-secr\u00e9t",
                "k-secret\ud800",
            )
        ),
        *(
            ([{"name": "acme", "apiKeys": [], field: value}], field)
            for field in ("priority", "ratePerS", "burst")
            for value in (
                "k-secret",
                None,
                True,
                -1,
                float("nan"),
                float("inf"),
                10**400,
                ["k-secret"],
            )
        ),
        ([{"name": "acme", "apiKeys": [], "priority": 0.5}], "priority"),
    ],
)
def test_malformed_workspaces_are_rejected_without_showing_a_key(
    tenants, reason
):
    # The reason is logged; a key may stand in any field by mistake.
    with pytest.raises(codec.DecodeError) as caught:
        _decode_tenants(tenants)
    assert reason in str(caught.value)
    assert "secr" not in str(caught.value)


def test_keyless_is_a_boolean():
    # A route must not be opened or closed by what its author did not mean.
    for value in ("k-secret", 0, None):
        with pytest.raises(codec.DecodeError) as caught:
            _decode_tenants(_TENANTS, keyless=value)
        assert "secret" not in str(caught.value)


_FIELDS = strategies.sampled_from(
    ["name", "apiKeys", "priority", "ratePerS", "burst", "k-secret"]
)
_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.sampled_from(["k-secret", "acme", "k-secret\n", "k-secr\xe9"]),
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(_FIELDS, inner, max_size=6)
    ),
    max_leaves=12,
)


@given(tenants=_VALUES)
def test_arbitrary_workspaces_decode_or_are_rejected_without_a_key(tenants):
    try:
        decoded = _decode_tenants(tenants)
    except codec.DecodeError as error:
        assert "secr" not in str(error)
    else:
        digests = [
            digest
            for workspace in decoded.workspaces.values()
            for digest in workspace.key_digests
        ]
        assert len(digests) == len(set(digests))
