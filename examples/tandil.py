"""Declares the deployment of the ballast works of Tandil.

Run it to print the configuration, or pass it to `eelgrasshall apply`.  Orders
and tenders are spread over many services; dispatch and track gangs have one
service each.  A tender history is useless if a quarry is missing, so its kind
allows no partial answers.
"""

from eelgrasshall import declare

ZONES = declare.make_zones("bsas-sur", ["tandil-a", "olavarria-b", "azul-c"])

ORDERS = declare.Shape(replicas=3, slots=6, connections=45)
DISPATCH = declare.Shape(replicas=9, slots=6, connections=100)
GANGS = declare.Shape(replicas=4, slots=6, connections=100)

NETWORK_NUMBERS = {
    "pedidos": 1,
    "licitaciones": 2,
    "despacho": 3,
    "cuadrillas": 4,
}
PORT = 9200


def locate(server: str) -> tuple[str, int]:
    """Returns a backend server's address; each group has its own network."""
    group, service, replica = server.rsplit("-", 2)
    return f"10.{NETWORK_NUMBERS[group]}.{int(service)}.{replica}", PORT


def build(locate: declare.Locate = locate) -> declare.Configuration:
    """Builds the configuration.

    Args:
      locate: Returns the host and port of a backend server, given its name.
    """

    def make_group(group, count, shape):
        return declare.make_services(
            group=group, count=count, zones=ZONES, shape=shape, locate=locate
        )

    pedidos = make_group("pedidos", 10, ORDERS)
    licitaciones = make_group("licitaciones", 15, ORDERS)
    despacho = make_group("despacho", 1, DISPATCH)
    cuadrillas = make_group("cuadrillas", 1, GANGS)
    kinds = [
        declare.Kind(
            name="pedidos",
            services=declare.name_services(pedidos),
            deadline_ms=1000,
            coverage_floor=0.8,
            max_concurrent=64,
        ),
        declare.Kind(
            name="licitaciones",
            services=declare.name_services(licitaciones),
            deadline_ms=2000,
            coverage_floor=1.0,
            max_concurrent=64,
        ),
        declare.Kind(
            name="despacho",
            services=declare.name_services(despacho),
            deadline_ms=500,
            coverage_floor=1.0,
            max_concurrent=128,
            weight=2,
        ),
        declare.Kind(
            name="cuadrillas",
            services=declare.name_services(cuadrillas),
            deadline_ms=500,
            coverage_floor=1.0,
            max_concurrent=64,
            weight=2,
        ),
    ]
    return declare.compose(
        zones=ZONES,
        services=pedidos + licitaciones + despacho + cuadrillas,
        kinds=kinds,
    )


if __name__ == "__main__":
    declare.main(build)
