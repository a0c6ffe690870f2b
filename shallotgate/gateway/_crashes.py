"""Signs that the content of a request crashes targets."""

import hashlib
from dataclasses import dataclass, field

from shallotgate.gateway._directory import Target

_DIGEST_BYTES = 12
# Targets lost by one request, without any reply, from which on the request is
# not sent again. Equals the number of targets that the tier may lose to one
# content.
_SUSPICION_THRESHOLD = 3


@dataclass
class CrashEvidence:
    """Results of the attempts of one request, as far as crashes matter."""

    # Targets whose connection broke while they had the request.
    lost: list[Target] = field(default_factory=list)
    # Whether a target has answered after processing the request.
    is_survived: bool = False

    @property
    def is_suspicious(self) -> bool:
        """Whether the request may have crashed the lost targets."""
        return len(self.lost) >= _SUSPICION_THRESHOLD and not self.is_survived


@dataclass(frozen=True)
class RequestContent:
    """Content of a request, independent of its caller and time."""

    method: bytes
    host: str
    path: bytes
    body: bytes

    def compute_digest(self) -> str:
        """Return a digest that is equal for equal contents."""
        parts = (self.method, self.host.encode(), self.path)
        digest = hashlib.blake2b(self.body, digest_size=_DIGEST_BYTES)
        digest.update(b'\0'.join(parts))
        return digest.hexdigest()
