"""Term of the leadership that a member serves."""

from collections.abc import Callable, Sequence

from shallotgate.consensus import ReplicatedLog


class ServedTerm:
    """Lets a member begin each leadership without what it recorded before.

    Another leader may have told the entries of something newer in between.
    """

    def __init__(
        self, log: ReplicatedLog, resets: Sequence[Callable[[], None]]
    ) -> None:
        """``resets`` are called when another leadership is served."""
        self._log = log
        self._resets = resets
        self._term: int | None = None

    def renew(self) -> None:
        """Serve the present leadership, if this member leads."""
        term = self._log.get_leading_term()
        if term is None or term == self._term:
            return
        for reset in self._resets:
            reset()
        self._term = term

    def is_current(self) -> bool:
        """Return whether this member leads and serves that leadership."""
        term = self._log.get_leading_term()
        return term is not None and term == self._term
