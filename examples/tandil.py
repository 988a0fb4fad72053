"""Declares the deployment of the ballast works of Tandil.

Run it to print the configuration, or give it to `eelgrasshall apply`.  Orders
and tenders are spread over many services; dispatch and track gangs have one
service each.  A tender history with a quarry missing is worthless, so its kind
gives no partial answers.
"""

from eelgrasshall import declare

ZONES = declare.make_zones("bsas-sur", ["tandil-a", "olavarria-b", "azul-c"])

ORDERS = declare.Shape(replicas=3, slots=6, connections=45)
DISPATCH = declare.Shape(replicas=9, slots=6, connections=100)
GANGS = declare.Shape(replicas=4, slots=6, connections=100)

NETWORKS = {"pedidos": 1, "licitaciones": 2, "despacho": 3, "cuadrillas": 4}
PORT = 9200


def locate(server: str) -> tuple[str, int]:
    """Returns the address of a backend server, one network for each group."""
    group, service, replica = server.rsplit("-", 2)
    return f"10.{NETWORKS[group]}.{int(service)}.{replica}", PORT


def build(locate: declare.Locate = locate) -> declare.Configuration:
    """Builds the configuration.

    Args:
      locate: Gives host and port of the backend server of that name.
    """

    def make(group, count, shape):
        return declare.make_services(
            group=group, count=count, zones=ZONES, shape=shape, locate=locate
        )

    pedidos = make("pedidos", 10, ORDERS)
    licitaciones = make("licitaciones", 15, ORDERS)
    despacho = make("despacho", 1, DISPATCH)
    cuadrillas = make("cuadrillas", 1, GANGS)
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
