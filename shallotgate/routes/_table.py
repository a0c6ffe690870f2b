"""Routing table as published by operators."""

from dataclasses import dataclass, field
from typing import Protocol


@dataclass(frozen=True)
class WeightedService:
    """Weighted alternative of a route."""

    service: str
    # Weight relative to the other alternatives of the route.
    weight: float = 1


@dataclass(frozen=True)
class Route:
    """Requests matched by host and path prefix, and how to serve them."""

    name: str
    host: str
    # Begins and ends with a slash.
    prefix: str
    # Whether a request may run more than once.
    is_repeatable: bool
    # Upper limit of the caller's timeout, in milliseconds.
    timeout_ms: int
    # Latency objective, in milliseconds.
    objective_ms: float
    # Priority; 0 is the highest.
    priority: int = 0
    # Targets of one service on which one request may run.
    max_attempts: int = 1
    # Weighted alternatives for each request; empty for a fan-out.
    choices: tuple[WeightedService, ...] = ()
    # Services that receive each request; empty unless a fan-out.
    shards: tuple[str, ...] = ()
    # Maximum records of a merged answer.
    top_count: int = 0
    # Minimum share of shards required for an answer, 0 to 1.
    min_coverage: float = 0
    # Whether requests need no key of a client account.
    is_public: bool = False

    @property
    def services(self) -> tuple[str, ...]:
        """All services referenced by the route."""
        return self.shards + tuple(choice.service for choice in self.choices)


@dataclass(frozen=True)
class Service:
    """Group of interchangeable targets."""

    name: str
    # Path of the health check.
    health_path: str = '/'
    # Connections that one target accepts from all instances together.
    max_connections: int = 1
    # Warm-up time of a started target, in seconds.
    warm_up_s: float = 0
    # Rate limit of a target that is warming up; 0 means none.
    warm_up_per_s: float = 0


@dataclass(frozen=True)
class ClientAccount:
    """Customer of the operators, with its keys, priority and limit."""

    name: str
    # Keys that authenticate its requests; kept out of logs.
    keys: tuple[str, ...] = field(default=(), repr=False)
    # Takes precedence over the priority of a route; None leaves that one.
    priority: int | None = None
    # Requests a second over all entries; 0 means no limit.
    rate_per_s: float = 0
    # Requests that may come at once beyond the rate.
    burst: float = 0


@dataclass(frozen=True)
class CallerLimits:
    """Size and time limits for caller requests."""

    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 256 * 1024
    # From the first byte of a request to the end of its headers.
    header_timeout_ms: int = 3000
    # Timeout of a connection without a request.
    idle_timeout_ms: int = 15000


@dataclass(frozen=True)
class RoutingTable:
    """All routes and services of one version."""

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    limits: CallerLimits = CallerLimits()
    # Without accounts no request needs a key.
    accounts: tuple[ClientAccount, ...] = ()


class TableCodec(Protocol):
    """Format in which operators write routing tables."""

    def decode_table(self, document: bytes) -> RoutingTable:
        """Decode a table; raises ``FindingsError`` if it is invalid."""
