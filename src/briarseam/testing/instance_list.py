"""Stand-in for the platform's list of instances."""

from __future__ import annotations

import collections
import dataclasses
import threading
import time
import typing

import msgspec

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches

KEPT_SNAPSHOTS = 10_000

Role = typing.Literal["agent", "entry", "engine", "service", "store"]
State = typing.Literal["live", "leaving"]


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of the instance list.

    Attributes
    ----------
    lag_ms
        Age of what the list shows.
    """

    lag_ms: switches.Amount = 0


@dataclasses.dataclass(frozen=True)
class Registration:
    """Body of the call that registers an instance."""

    role: Role
    address: str
    zone: str
    state: State = "live"


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the list."""

    name: str
    role: Role
    address: str
    zone: str
    state: State


@dataclasses.dataclass(frozen=True)
class Instances:
    """Answer of the list."""

    instances: tuple[Instance, ...]


@dataclasses.dataclass(frozen=True)
class Snapshot:
    """The list from one moment on.

    Attributes
    ----------
    since
        Monotonic time in seconds.
    instances
        The rows, sorted by name.
    """

    since: float
    instances: tuple[Instance, ...]


class InstanceList(stand_in.StandIn[Switches]):
    """The instance list.

    Parameters
    ----------
    switches
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.
    """

    def __init__(
        self, switches: Switches | None = None, listen: str = "127.0.0.1:0"
    ) -> None:
        super().__init__(switches or Switches(), listen)
        self.lock = threading.Lock()
        self.present: dict[str, Instance] = {}
        self.snapshots = collections.deque(
            [Snapshot(0, ())], maxlen=KEPT_SNAPSHOTS
        )

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call.

        Parameters
        ----------
        request
            The call.

        Returns
        -------
        http_messages.Response
            The answer.
        """
        match request.method, request.path:
            case "GET", ("instances",):
                rows = Instances(self.shown())
                return http_messages.json_response(200, rows)
            case "PUT", ("instances", name):
                body = msgspec.json.decode(request.body, type=Registration)
                return http_messages.json_response(200, self.put(name, body))
            case "DELETE", ("instances", name):
                self.delete(name)
                return http_messages.Response(204)
        return stand_in.no_such_call(request)

    def put(self, name: str, body: Registration) -> Instance:
        """Register or change an instance.

        Parameters
        ----------
        name
            Its name.
        body
            The rest of its row.

        Returns
        -------
        Instance
            The row.

        Raises
        ------
        ValueError
            When the address is no ``IP:PORT``.
        """
        stand_in.parse_address(body.address)
        instance = Instance(
            name, body.role, body.address, body.zone, body.state
        )
        with self.lock:
            self.present[name] = instance
            self.take_snapshot()
        return instance

    def delete(self, name: str) -> None:
        """Remove an instance.

        Parameters
        ----------
        name
            Its name; may be absent.
        """
        with self.lock:
            self.present.pop(name, None)
            self.take_snapshot()

    def take_snapshot(self) -> None:
        """Keep the present list for the lag; call it under ``lock``."""
        rows = tuple(self.present[name] for name in sorted(self.present))
        self.snapshots.append(Snapshot(time.monotonic(), rows))

    def shown(self) -> tuple[Instance, ...]:
        """Return the list as of ``lag_ms`` ago.

        Returns
        -------
        tuple[Instance, ...]
            The rows.
        """
        seen_at = time.monotonic() - self.switches.lag_ms / 1000
        with self.lock:
            for snapshot in reversed(self.snapshots):
                if snapshot.since <= seen_at:
                    return snapshot.instances
            return self.snapshots[0].instances
