"""Limit of the request bodies in flight to one endpoint.

An endpoint crashes if the requests that it holds exceed its memory, and all
of its requests are lost then.
"""

from __future__ import annotations

import threading
import typing

if typing.TYPE_CHECKING:
    from briarseam.discovery import model as discovery


def one_instance() -> int:
    """Return the number of instances if no others are known."""
    return 1


class EndpointBytes:
    """Counts this instance's bodies at each endpoint; thread-safe.

    Parameters
    ----------
    limit
        Bytes that all instances together may have in flight to an endpoint;
        0 for no limit.
    instances
        Returns the number of instances, which get equal shares.

    Attributes
    ----------
    by_endpoint
        Bytes in flight, by the endpoint's start.
    """

    def __init__(
        self,
        limit: int = 0,
        instances: typing.Callable[[], int] = one_instance,
    ) -> None:
        self.limit = limit
        self.instances = instances
        self.by_endpoint: dict[str, int] = {}
        self.lock = threading.Lock()

    def share(self) -> int:
        """Return the bytes that this instance may have at an endpoint."""
        return self.limit // max(1, self.instances())

    def with_room(
        self, endpoints: list[discovery.Endpoint], size: int
    ) -> list[discovery.Endpoint]:
        """Return the endpoints that may get a body of this size now."""
        if not self.limit:
            return endpoints
        share = self.share()
        with self.lock:
            return [
                endpoint
                for endpoint in endpoints
                if self.has_room(endpoint.id, size, share)
            ]

    def try_reserve(self, endpoint_id: str, size: int) -> Reservation | None:
        """Count a body; ``None`` if it exceeds this instance's share."""
        # Counted without a limit too: one may be set meanwhile.
        share = self.share()
        with self.lock:
            if self.limit and not self.has_room(endpoint_id, size, share):
                return None
            held = self.by_endpoint.get(endpoint_id, 0)
            self.by_endpoint[endpoint_id] = held + size
        return Reservation(self, endpoint_id, size)

    def has_room(self, endpoint_id: str, size: int, share: int) -> bool:
        """Return whether an endpoint may get a body; requires the lock.

        One body is always allowed, so that none is too large for good.
        """
        held = self.by_endpoint.get(endpoint_id, 0)
        return held == 0 or held + size <= share

    def subtract(self, endpoint_id: str, size: int) -> None:
        """Stop counting a body."""
        with self.lock:
            left = self.by_endpoint.get(endpoint_id, 0) - size
            if left > 0:
                self.by_endpoint[endpoint_id] = left
            else:
                # Bodies may be empty, so the entry may be gone already.
                self.by_endpoint.pop(endpoint_id, None)


class Reservation:
    """The bytes of one request's body at an endpoint.

    Parameters
    ----------
    bodies
        Counts them.
    endpoint_id
        The endpoint's start.
    size
        Size of the body in bytes.

    Attributes
    ----------
    sent
        Whether the request is being sent, so that the endpoint holds it
        until its answer has ended.
    """

    def __init__(
        self, bodies: EndpointBytes, endpoint_id: str, size: int
    ) -> None:
        self.bodies = bodies
        self.endpoint_id = endpoint_id
        self.size = size
        self.sent = False
        self.released = False

    def release(self) -> None:
        """Stop counting them; only the first call has an effect."""
        if not self.released:
            self.released = True
            self.bodies.subtract(self.endpoint_id, self.size)
