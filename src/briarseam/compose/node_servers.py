"""Composition of the HTTP servers of the serving process."""

from __future__ import annotations

import threading
import typing

from briarseam import bounded_requests
from briarseam import clocks
from briarseam.forwarding import server as http

if typing.TYPE_CHECKING:
    import collections.abc

    from briarseam import inflight
    from briarseam.clients import budget as budgets
    from briarseam.compose import local_handlers
    from briarseam.forwarding import held_bytes
    from briarseam.metrics import instruments
    from briarseam.routes import model as routes
    from briarseam.settings import sections
    from briarseam.settings import serving

# Headers that an instance adds to a request that it passes on.
RELAY_HEADER_BYTES = 1024
Handler = typing.Callable[[http.Exchange], None]


def build(
    listen: serving.Listen,
    forward: Handler,
    forward_relayed: Handler,
    in_flight: inflight.InFlight,
    held: held_bytes.HeldBytes,
    budget: budgets.Budget,
    not_reading: instruments.Counter,
    local: local_handlers.LocalHandlers,
) -> dict[str, http.Server]:
    """Return the servers by purpose, not yet bound.

    Parameters
    ----------
    listen
        The addresses to listen on.
    forward
        Answers callers' requests.
    forward_relayed
        Answers those that other instances pass on.
    in_flight
        Counts both.
    held
        Counts and limits the bytes held for both.
    budget
        Counts and limits all that clients make the process hold.
    not_reading
        Counts callers whose connections were closed since they did not read.
    local
        Answers all other requests.
    """
    handlers: dict[str, tuple[sections.Address, Handler]] = {
        "readiness": (listen.readiness, local.readiness),
        "lookups": (listen.lookups, local.addresses),
        "metrics": (listen.metrics, local.scrape),
    }
    forwarding: dict[str, tuple[sections.Address, Handler]] = {
        "callers": (listen.callers, forward),
        "relays": (listen.relay_address(), forward_relayed),
    }
    servers = {
        name: http.Server(
            name, (address.ip, address.port), handler, in_flight, held, budget
        )
        for name, (address, handler) in forwarding.items()
    }
    for server in servers.values():
        server.on_not_reading = not_reading.add
    for name, (address, handler) in handlers.items():
        servers[name] = http.Server(
            name, (address.ip, address.port), handler, budget=budget
        )
        servers[name].reads_bodies = False
    return servers


def apply_limits(
    servers: collections.abc.Mapping[str, http.Server],
    limits: routes.CallerLimits,
) -> None:
    """Apply the limits on callers' requests.

    Parameters
    ----------
    servers
        The servers by purpose.
    limits
        What callers may send, and how long they may be idle.
    """
    for name, extra_bytes in (("callers", 0), ("relays", RELAY_HEADER_BYTES)):
        server = servers[name]
        server.set_idle_timeout(limits.idle_timeout_s)
        bounded_requests.apply(
            server,
            bounded_requests.RequestLimits(
                limits.header_bytes + extra_bytes,
                limits.body_bytes,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            ),
        )


def stop_all(
    servers: collections.abc.Iterable[http.Server], wait_s: float
) -> None:
    """Stop servers in parallel: each takes half a second or more.

    Parameters
    ----------
    servers
        The servers to stop.
    wait_s
        Maximum wait for all of them to stop, in seconds.
    """
    end_s = clocks.boot_clock() + wait_s
    threads = [
        threading.Thread(target=server.stop, daemon=True) for server in servers
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join(max(0.0, end_s - clocks.boot_clock()))
