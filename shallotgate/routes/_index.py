"""Route lookup by host and longest path prefix."""

from shallotgate.routes._table import Route, RoutingTable


def normalize_host(host: str) -> str:
    """Return a host without its port, in lower case.

    >>> normalize_host('A.example:80')
    'a.example'
    """
    return host.partition(':')[0].lower()


class RouteIndex:
    """Finds the route of a request.

    >>> short = Route('short', 'a.example', '/x/', True, 100, 10)
    >>> long = Route('long', 'a.example', '/x/y/', True, 100, 10)
    >>> index = RouteIndex(RoutingTable(1, (short, long)))
    >>> index.find('A.example:80', '/x/y/2f?q=1').name
    'long'
    >>> index.find('a.example', '/z/') is None
    True
    """

    def __init__(self, table: RoutingTable) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in table.routes:
            prefixes = self._by_host.setdefault(normalize_host(route.host), {})
            prefixes[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        prefixes = self._by_host.get(normalize_host(host))
        if prefixes is None:
            return None
        path_only = path.partition('?')[0]
        end = path_only.rfind('/')
        while end >= 0:
            route = prefixes.get(path_only[: end + 1])
            if route is not None:
                return route
            end = path_only.rfind('/', 0, end)
        return None
