"""Engines of several software versions, whose events name their version."""

from __future__ import annotations

import http.client
import json
import re
import time
import typing

from tests.platform import system as systems
from tests.platform import worker as workers

SERVICE = "engines"
PATH = "/draft/x"
VERSION = re.compile(rb"of (v[\d.]+)")


class VersionedEngine(workers.Worker):
    """Engine that runs one version of its software."""

    def __init__(
        self,
        id: str,
        version: str,
        listen: str = "127.0.0.1:0",
        born: int | None = None,
    ) -> None:
        super().__init__(id, listen, born)
        self.version = version

    def start_fields(self) -> dict[str, typing.Any]:
        """Return the start time and version as fields of entries."""
        return {**super().start_fields(), "version": self.version}

    def event(self, number: int) -> bytes:
        """Return one event of a stream."""
        text = f"id: {number}\ndata: token {number} of {self.version}\n\n"
        return text.encode()


def add(
    system: systems.System, version: str, count: int, first: int = 0
) -> list[VersionedEngine]:
    """Start engines of one version."""
    added = []
    for number in range(first, first + count):
        engine = VersionedEngine(f"engine-{version}-{number}", version)
        system.add(engine, SERVICE, weights=1)
        added.append(engine)
    return added


class Stream:
    """A stream that a caller takes up again wherever it breaks off.

    Attributes
    ----------
    origin
        Id of the request that brought the first event; empty before it.
    data
        All events so far.
    statuses
        Statuses of all requests.
    """

    def __init__(self) -> None:
        self.session = time.monotonic_ns()
        self.origin = ""
        self.data = b""
        self.statuses: list[int] = []
        self.complete = False

    def body(self) -> bytes:
        """Return a body that no other stream has.

        Streams that are broken off as one and the same request at three
        endpoints are refused, once its losses are decided after 0.2 s.
        """
        return json.dumps({"session": self.session}).encode()

    def last_event_id(self) -> str:
        """Return the id of the last whole event; empty without one."""
        whole, _, _ = self.data.rpartition(b"\n\n")
        ids = re.findall(rb"id: (\d+)", whole)
        return ids[-1].decode() if ids else ""

    def versions(self) -> set[bytes]:
        """Return the software versions whose events it has."""
        return set(VERSION.findall(self.data))

    def request(self, node: typing.Any, path: str = PATH) -> int:
        """Ask an instance for the stream, or for the rest of it."""
        listen = node.settings.listen.callers
        name = f"r{time.monotonic_ns()}"
        headers = systems.callers_headers(
            systems.KEY, {**systems.PROMPT, "Request_Id": name}
        )
        headers["Prefix-Hash"] = f"{self.session:x}:600,b{self.session:x}:400"
        if self.origin:
            headers["Resumes"] = self.origin
            headers["Last-Event-Id"] = self.last_event_id()
        connection = http.client.HTTPConnection(
            listen.ip, listen.port, timeout=10
        )
        try:
            connection.request("POST", path, self.body(), headers)
            answer = connection.getresponse()
            self.statuses.append(answer.status)
            if answer.status == 200:
                self.read(answer, name)
        finally:
            connection.close()
        return self.statuses[-1]

    def read(self, answer: http.client.HTTPResponse, name: str) -> None:
        """Read the events of an answer, as far as they come."""
        try:
            while data := answer.read1():
                self.data += data
                if self.last_event_id():
                    self.origin = self.origin or name
            self.complete = True
        except (http.client.HTTPException, OSError):
            self.data = self.data[: self.data.rfind(b"\n\n") + 2]
