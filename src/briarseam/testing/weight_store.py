"""Stand-in for the platform's rate-limited weight store."""

from __future__ import annotations

import dataclasses
import threading
import typing

import msgspec

from briarseam.testing import http_messages
from briarseam.testing import rates
from briarseam.testing import stand_in
from briarseam.testing import switches

PARTS_HEADER = "X-Parts"
RETRY_S = 1


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of the weight store.

    Attributes
    ----------
    parts
        Parts of each version's weights.
    part_bytes
        Length of a part.
    bytes_per_s
        Rate, shared by all transfers; 0 sets no limit.
    max_concurrent
        Transfers at a time; 0 sets no limit.
    """

    parts: typing.Annotated[int, msgspec.Meta(ge=1)] = 4
    part_bytes: switches.Count = 1 << 18
    bytes_per_s: switches.Amount = 0
    max_concurrent: switches.Count = 0


class WeightStore(stand_in.StandIn[Switches]):
    """The weight store; it has every model and version.

    Parameters
    ----------
    initial
        The switches at the start.
    listen
        ``IP:PORT``; port 0 takes any free one.
    """

    def __init__(
        self, initial: Switches | None = None, listen: str = "127.0.0.1:0"
    ) -> None:
        super().__init__(initial or Switches(), listen)
        self.lock = threading.Lock()
        self.running = 0
        self.link = rates.Link()

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
            case "GET", ("weights", model, version):
                part = request.number("part", 0)
                return self.get(f"{model}/{version}/{part}", part)
        return stand_in.no_such_call(request)

    def get(self, name: str, part: int) -> http_messages.Response:
        """Give one part of some weights.

        Parameters
        ----------
        name
            Names the part, and fixes its bytes.
        part
            Its number from 0.

        Returns
        -------
        http_messages.Response
            Its bytes, 404 or 429.
        """
        if not 0 <= part < self.switches.parts:
            return http_messages.problem(404, "no such part")
        if not self.begin():
            return http_messages.problem(429, "too many transfers", RETRY_S)
        size = self.switches.part_bytes
        try:
            rate = self.switches.bytes_per_s
            self.link.transfer(size, rate, self.stopping)
        finally:
            self.end()
        unit = name.encode()
        content = (unit * (size // len(unit) + 1))[:size]
        headers = ((PARTS_HEADER, str(self.switches.parts)),)
        return http_messages.Response(200, content, headers=headers)

    def begin(self) -> bool:
        """Begin a transfer.

        Returns
        -------
        bool
            Whether there are not too many.
        """
        with self.lock:
            limit = self.switches.max_concurrent
            if limit and self.running >= limit:
                return False
            self.running += 1
            return True

    def end(self) -> None:
        """End a transfer."""
        with self.lock:
            self.running -= 1
