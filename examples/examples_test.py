"""Tests that both examples have the full size of their deployments."""

import collections

import pytest

from eelgrasshall.state import configuration
from examples import obshta_trapeza
from examples import tandil

_ORDERS = (3, 6, 45)
_LISTINGS = (3, 2, 25)


def _read_sizes(declared):
    """Gives each group's services, replicas, slots and connections."""
    sizes = {}
    for service in declared.services:
        group = service.name.rpartition("-")[0]
        server = service.servers[0]
        shape = (len(service.servers), server.slots, server.connections)
        count, _ = sizes.get(group, (0, None))
        sizes[group] = (count + 1, shape)
    return sizes


def test_tandil_has_its_size():
    assert _read_sizes(tandil.build()) == {
        "pedidos": (10, _ORDERS),
        "licitaciones": (15, _ORDERS),
        "despacho": (1, (9, 6, 100)),
        "cuadrillas": (1, (4, 6, 100)),
    }


def test_obshta_trapeza_has_its_size():
    assert _read_sizes(obshta_trapeza.build()) == {
        "rescue-finder": (10, _LISTINGS),
        "donor-desk": (15, _LISTINGS),
        "pickup-board": (1, (6, 4, 45)),
        "price-watch": (1, (3, 4, 45)),
    }


@pytest.mark.parametrize("module", [tandil, obshta_trapeza])
def test_replicas_are_spread_over_all_zones(module):
    declared = module.build()
    for service in declared.services:
        zones = collections.Counter(server.zone for server in service.servers)
        assert len(zones) == 3
        assert max(zones.values()) - min(zones.values()) <= 1


@pytest.mark.parametrize("module", [tandil, obshta_trapeza])
def test_same_declaration_prints_same_bytes(module):
    first = configuration.format_configuration(module.build())
    again = configuration.format_configuration(module.build())
    assert first == again


def test_other_addresses_change_nothing_else():
    moved = tandil.build(lambda server: ("127.0.0.1", 20000 + _hash(server)))
    declared = tandil.build()
    assert moved.kinds == declared.kinds
    assert {s.host for each in moved.services for s in each.servers} == {
        "127.0.0.1"
    }


def test_reservations_are_not_repeatable():
    kind = obshta_trapeza.build().find_kind("reservation")
    assert not kind.repeatable
    assert kind.services == ("pickup-board-01",)


def _hash(server):
    """Gives each server its own port offset."""
    group, service, replica = server.rsplit("-", 2)
    return tandil.NETWORKS[group] * 1000 + int(service) * 10 + int(replica)
