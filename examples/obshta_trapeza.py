"""Declares the deployment of Obshta Trapeza, the surplus-food platform.

Run it to print the configuration, or pass it to `eelgrasshall apply`.  Food
banks wait for the listings at closing time, so deadlines are short and partial
listings are allowed.  Only one charity may take a crate, so reservations are a
separate kind that must not be repeated and uses only one service.
"""

from eelgrasshall import declare

ZONES = declare.make_zones("sofia", ["sofia-a", "sofia-b", "sofia-c"])

LISTINGS = declare.Shape(replicas=3, slots=2, connections=25)
PICKUPS = declare.Shape(replicas=6, slots=4, connections=45)
PRICES = declare.Shape(replicas=3, slots=4, connections=45)

NETWORK_NUMBERS = {
    "rescue-finder": 11,
    "donor-desk": 12,
    "pickup-board": 13,
    "price-watch": 14,
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

    rescue_finder = make_group("rescue-finder", 10, LISTINGS)
    donor_desk = make_group("donor-desk", 15, LISTINGS)
    pickup_board = make_group("pickup-board", 1, PICKUPS)
    price_watch = make_group("price-watch", 1, PRICES)
    kinds = [
        declare.Kind(
            name="rescue-finder",
            services=declare.name_services(rescue_finder),
            deadline_ms=500,
            coverage_floor=0.5,
            max_concurrent=32,
            weight=2,
        ),
        declare.Kind(
            name="donor-desk",
            services=declare.name_services(donor_desk),
            deadline_ms=1000,
            coverage_floor=0.8,
            max_concurrent=32,
        ),
        declare.Kind(
            name="pickup-board",
            services=declare.name_services(pickup_board),
            deadline_ms=500,
            coverage_floor=1.0,
            max_concurrent=64,
        ),
        declare.Kind(
            name="reservation",
            services=declare.name_services(pickup_board),
            deadline_ms=1000,
            coverage_floor=1.0,
            repeatable=False,
            max_concurrent=64,
            max_body_bytes=8192,
            weight=2,
        ),
        declare.Kind(
            name="price-watch",
            services=declare.name_services(price_watch),
            deadline_ms=500,
            coverage_floor=1.0,
            max_concurrent=32,
        ),
    ]
    return declare.compose(
        zones=ZONES,
        services=rescue_finder + donor_desk + pickup_board + price_watch,
        kinds=kinds,
    )


if __name__ == "__main__":
    declare.main(build)
