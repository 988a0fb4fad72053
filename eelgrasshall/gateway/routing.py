"""Which route a request takes, and which service of a split gets it.

Among the routes of a host the one with the longest prefix of the path wins.
A split is dealt out smoothly instead of by chance, so that the shares are
right over short spans too.
"""

from collections.abc import Sequence

from eelgrasshall.gateway import model


class RouteTable:
    """The routes of one configuration version, ready to be looked up.

    Args:
      configuration: The version.
    """

    def __init__(self, *, configuration: model.Configuration):
        self.configuration = configuration
        self._by_host: dict[str, dict[str, model.Route]] = {}
        for route in configuration.routes:
            self._by_host.setdefault(route.host, {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> model.Route | None:
        """Returns the route of a request, or None."""
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


class Dealer:
    """Deals the requests of split routes to services by their weights."""

    def __init__(self):
        self._credits: dict[str, dict[str, float]] = {}

    def deal(
        self, route_name: str, split: Sequence[model.WeightedService]
    ) -> str:
        """Returns the service that the next request goes to."""
        if len(split) == 1:
            return split[0].name
        total = sum(each.weight for each in split)
        credits = self._credits.setdefault(route_name, {})
        for name in set(credits) - {each.name for each in split}:
            del credits[name]
        for each in split:
            credits[each.name] = credits.get(each.name, 0.0) + each.weight
        chosen = max(split, key=lambda each: credits[each.name]).name
        credits[chosen] -= total
        return chosen
