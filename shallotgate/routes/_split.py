"""Traffic split: weighted choice among the services of a route."""

from shallotgate.routes._table import Route


class SplitChooser:
    """Smooth weighted round-robin over the services of a route.

    The service furthest behind its share is next, so that the weights also hold
    over short intervals.

    >>> from shallotgate.routes import WeightedService
    >>> choices = (WeightedService('a', 3), WeightedService('b', 1))
    >>> route = Route('r', 'h', '/', True, 100, 10, choices=choices)
    >>> chooser = SplitChooser(route, offset=0)
    >>> ''.join(chooser.choose() for _ in range(8))
    'aabaaaba'
    """

    def __init__(self, route: Route, offset: float) -> None:
        """``offset``, 0 to 1, should differ between instances."""
        self._names = [choice.service for choice in route.choices]
        self._weights = [choice.weight for choice in route.choices]
        self._total = sum(self._weights)
        self._credits = [offset * weight for weight in self._weights]

    def choose(self) -> str:
        """Return the service of the next request."""
        if len(self._names) == 1:
            return self._names[0]
        for position, weight in enumerate(self._weights):
            self._credits[position] += weight
        best = max(range(len(self._names)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return self._names[best]
