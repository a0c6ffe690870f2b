"""Routing table as operators publish it."""

from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True)
class WeightedService:
    """One of the services among which a route spreads its requests."""

    service: str
    # Share of the requests relative to the other weights of the route.
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix and how they are served."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    # Whether a request may run more than once.
    is_repeatable: bool
    # Longest time that a caller is kept waiting, in milliseconds.
    timeout_ms: int
    # Time within which an answer is worth most, in milliseconds.
    objective_ms: float
    # Rank; 0 is the highest.
    priority: int = 0
    # Targets of one service that one request may run on.
    max_attempts: int = 1
    # Services among which each request picks one; empty for a fan-out.
    choices: tuple[WeightedService, ...] = ()
    # Services that each request is sent to; empty unless it is a fan-out.
    shards: tuple[str, ...] = ()
    # Records of the merged answer.
    top_count: int = 0
    # Least share of the shards that makes an answer, 0 to 1.
    min_coverage: float = 0

    @property
    def services(self) -> tuple[str, ...]:
        """All services that the route names."""
        return self.shards + tuple(choice.service for choice in self.choices)


@dataclass(frozen=True)
class Service:
    """Interchangeable targets."""

    name: str
    # Path of the health check.
    health_path: str = '/'
    # Connections that one target accepts from all instances together.
    max_connections: int = 1
    # Seconds for which a started target stays cold.
    warm_up_s: float = 0
    # Requests a second that a cold target bears; 0 if that is not stated.
    warm_up_per_s: float = 0


@dataclass(frozen=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    # From the first byte of a request to the end of its headers.
    header_timeout_ms: int = 3000
    # For a connection without a request.
    idle_timeout_ms: int = 15000


@dataclass(frozen=True)
class RoutingTable:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()


class TableCodec(Protocol):
    """Format in which operators write routing tables."""

    def decode_table(self, document: bytes) -> RoutingTable:
        """Return the table; raises ``FindingsError`` if it can't be read."""
