"""Finds a request's route, and the service of a split that serves it.

Of the routes of the requested HTTP host, the one with the longest path prefix
is used.  The requests of a split are distributed by smooth weighted round-robin
rather than at random, so that the shares also hold over short periods.
"""

from collections.abc import Sequence

from eelgrasshall.gateway import model


class RouteTable:
    """Lookup table of the routes of one configuration version.

    Args:
      configuration: The configuration version.
    """

    def __init__(self, *, configuration: model.Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Returns the route with the longest matching prefix, or None."""
        routes = self._by_host.get(host)
        if routes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = routes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class WeightedRoundRobin:
    """Distributes the requests of split routes to services by weight."""

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def choose_service(
        self, route_name: str, split: Sequence[model.WeightedService]
    ) -> str:
        """Returns the service of the next request of a route."""
        if len(split) == 1:
            return split[0].name
        total = sum(service.weight for service in split)
        credits = self._credits.setdefault(route_name, {})
        for name in set(credits) - {service.name for service in split}:
            del credits[name]
        for service in split:
            credits[service.name] = (
                credits.get(service.name, 0.0) + service.weight
            )
        chosen = max(split, key=lambda service: credits[service.name]).name
        credits[chosen] -= total
        return chosen
