"""Tests the sizes and the determinism of the example deployments."""

import collections

import pytest

from eelgrasshall.state import configuration
from examples import obshta_trapeza
from examples import tandil

_ORDERS = (3, 6, 45)
_LISTINGS = (3, 2, 25)


def _get_sizes(declared):
    """Returns the service count of each group and the shape of its servers."""
    sizes = {}
    for service in declared.services:
        group = service.name.rpartition("-")[0]
        server = service.servers[0]
        shape = (len(service.servers), server.slots, server.connections)
        count, _ = sizes.get(group, (0, None))
        sizes[group] = (count + 1, shape)
    return sizes


def test_tandil_size():
    assert _get_sizes(tandil.build()) == {
        "pedidos": (10, _ORDERS),
        "licitaciones": (15, _ORDERS),
        "despacho": (1, (9, 6, 100)),
        "cuadrillas": (1, (4, 6, 100)),
    }


def test_obshta_trapeza_size():
    assert _get_sizes(obshta_trapeza.build()) == {
        "rescue-finder": (10, _LISTINGS),
        "donor-desk": (15, _LISTINGS),
        "pickup-board": (1, (6, 4, 45)),
        "price-watch": (1, (3, 4, 45)),
    }


@pytest.mark.parametrize("module", [tandil, obshta_trapeza])
def test_replicas_are_spread_evenly_over_zones(module):
    declared = module.build()
    for service in declared.services:
        zones = collections.Counter(server.zone for server in service.servers)
        assert len(zones) == 3
        assert max(zones.values()) - min(zones.values()) <= 1


@pytest.mark.parametrize("module", [tandil, obshta_trapeza])
def test_output_is_deterministic(module):
    first = configuration.format_configuration(module.build())
    again = configuration.format_configuration(module.build())
    assert first == again


def test_locate_changes_only_addresses():
    moved = tandil.build(
        lambda server: ("127.0.0.1", 20000 + _compute_port_offset(server))
    )
    declared = tandil.build()
    assert moved.kinds == declared.kinds
    assert {s.host for each in moved.services for s in each.servers} == {
        "127.0.0.1"
    }


def test_reservation_is_not_repeatable():
    kind = obshta_trapeza.build().find_kind("reservation")
    assert not kind.repeatable
    assert kind.services == ("pickup-board-01",)


def _compute_port_offset(server):
    """Returns a port offset that is unique to the server."""
    group, service, replica = server.rsplit("-", 2)
    return (
        tandil.NETWORK_NUMBERS[group] * 1000 + int(service) * 10 + int(replica)
    )
