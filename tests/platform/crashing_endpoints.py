"""Endpoints that a request crashes, and that are back after a while."""

from __future__ import annotations

import itertools
import threading
import typing

from briarseam.testing import http_messages
from briarseam.testing import ports
from briarseam.testing import waiting
from tests.platform import system as systems
from tests.platform import worker as workers

SERVICE = "portal"
PATH = "/status/crash"
TIMEOUT_S = 10


class Crashing(workers.Worker):
    """Endpoint whose process ends when it begins to run one request."""

    def __init__(
        self, id: str, listen: str = "127.0.0.1:0", born: int | None = None
    ) -> None:
        super().__init__(id, listen, born)
        self.crashed = threading.Event()
        self.stopper = threading.Thread(target=self.stop, daemon=True)

    def run(
        self,
        request: http_messages.Request,
        call: str,
        echo: workers.Headers,
    ) -> http_messages.Response:
        """Crash if the request is the one, else answer it."""
        if not PATH.endswith(request.path[-1]):
            return super().run(request, call, echo)
        self.ran.append(call)
        self.crashed.set()
        with self.lock:
            if not self.stopper.is_alive():
                self.stopper.start()
        # Connections are refused before the answer ends.
        waiting.until(lambda: self.server.socket is None, TIMEOUT_S)
        raise http_messages.Dropped


class Fleet:
    """The endpoints of one service, over all their starts.

    Parameters
    ----------
    system
        The platform that they run on.
    same_names
        Whether they restart under their names, with a later start time.
    """

    def __init__(
        self, system: systems.System, count: int, same_names: bool
    ) -> None:
        self.system = system
        self.same_names = same_names
        self.births = itertools.count(1_700_000_000_000, 1000)
        self.starts: list[Crashing] = []
        self.running: list[Crashing] = []
        for number, port in enumerate(ports.free_ports(count)):
            self.start(f"portal-{number}", f"127.0.0.1:{port}")

    def start(self, name: str, listen: str) -> None:
        """Start an endpoint and write its entry."""
        born = next(self.births) if self.same_names else None
        worker = Crashing(name, listen, born)
        self.system.add(worker, SERVICE)
        self.starts.append(worker)
        self.running.append(worker)

    def crashed(self) -> list[Crashing]:
        """Return the starts that crashed."""
        return [one for one in self.starts if one.crashed.is_set()]

    def restart_crashed(self) -> None:
        """Let entries lapse and start again at the same addresses."""
        down = [one for one in self.running if one.crashed.is_set()]
        for worker in down:
            worker.stopper.join()
            self.running.remove(worker)
            self.system.store.write("keyed.servers", worker.id, None)
        for worker in down:
            name = worker.id
            if not self.same_names:
                name = f"portal-{len(self.starts)}"
            self.start(name, worker.address)

    def await_known(self, nodes: typing.Iterable[typing.Any]) -> None:
        """Wait until instances know and reach exactly the running ones."""
        ids = {
            f"{one.id}@{one.born}" if one.born else one.id
            for one in self.running
        }
        for node in nodes:
            waiting.until(
                lambda node=node: (
                    {one.id for one in node.feeds.registry.serving(SERVICE)}
                    == ids
                    and not node.reachability.is_cut_off(SERVICE)
                ),
                TIMEOUT_S,
            )


def send(system: systems.System, node: typing.Any, path: str = PATH) -> int:
    """Send a request to an instance; return the status of the answer."""
    answer = system.http.request(
        "GET",
        f"http://{node.settings.listen.callers}{path}",
        headers=systems.callers_headers(systems.KEY, {}),
    )
    return answer.status
