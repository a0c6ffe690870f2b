"""Selection of the targets of one dispatch."""

from collections.abc import Callable, Sequence
from functools import partial

from shallotgate.gateway._call import Call
from shallotgate.gateway._directory import Target
from shallotgate.gateway._dispatch_contexts import DispatchContext
from shallotgate.gateway._send_permit import SendPermit


class TargetSelection:
    """Finds the target of each attempt, with a permit if it states a limit."""

    def __init__(
        self,
        context: DispatchContext,
        call: Call,
        service: str,
        on_permit: Callable[[], None],
    ) -> None:
        """``on_permit`` is called when a request for a permit is answered."""
        self._context = context
        self._call = call
        self._service = service
        self._tried: list[Target] = []
        self._choose = partial(
            context.choose, service, self._tried, call.route.objective_ms
        )
        # Target of the next attempt, if it is known already.
        self._reserved: Target | None = None
        self.permit = SendPermit(context, call, service, on_permit)

    @property
    def is_reserved(self) -> bool:
        """Whether there is a target for the next attempt."""
        return self._reserved is not None

    @property
    def needs_permit(self) -> bool:
        """Whether the reserved target states a limit."""
        target = self._reserved
        return target is not None and target.limit_per_s is not None

    def reserve(self, *, may_use_limited: bool = True) -> bool:
        """Choose the target of the next attempt; return whether there is one.

        The attempt has to follow without a wait, so that no other request gets
        the same room at the target.
        """
        self._reserved = self._choose(may_use_limited=may_use_limited)
        return self.is_reserved

    def settle_permit(self, target: Target | None) -> None:
        """Use a granted target for the next attempt; None if it was denied."""
        self.permit.settle(target)
        self._reserved = target or self._choose(may_use_limited=False)

    def find(self, *, is_extra: bool) -> Target | None:
        """Return the target to send to now, if any.

        A permit for one that states a limit is requested first; a later call
        returns that target. ``is_extra`` is whether the attempt repeats one.
        """
        # Taken in any case: it is that of the reserved target, if there is one.
        permitted = self.permit.take()
        target = self._reserved or permitted
        self._reserved = None
        if target is not None:
            return target
        target = self._choose(may_use_limited=not self.permit.is_denied)
        if target is None:
            self._call.trace.add('no_target', service=self._service)
            return None
        if target.limit_per_s is None:
            return target
        self.permit.request(self.rank_limited(), is_extra=is_extra)
        return None

    def find_replacement(self) -> Target | None:
        """Return a target in place of one that does not accept connections."""
        return self._choose(may_use_limited=False)

    def claim(self, target: Target) -> Target | None:
        """Return the target to send to in place of one that was chosen.

        It is another one if the permit of a rollout was used up meanwhile.
        """
        versions = self._context.directory.versions
        if versions.claim(target):
            return target
        other = self._choose(may_use_limited=False)
        return other if other is not None and versions.claim(other) else None

    def keep(self, target: Target) -> None:
        """Keep a target whose permit could not be used yet."""
        if target.limit_per_s is not None:
            self.permit.restore(target)

    def record_sent(self, target: Target) -> None:
        """Exclude a target from further attempts."""
        self._tried.append(target)

    def rank_limited(self) -> Sequence[Target]:
        """Return the untried targets that state a limit, best first."""
        return self._context.rank_limited(
            self._service, self._tried, self._call.route.objective_ms
        )
