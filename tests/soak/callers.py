"""Callers that send requests of all kinds and note what they got."""

from __future__ import annotations

import dataclasses
import http.client
import random
import socket
import threading
import time
import typing

from tests.platform import system
from tests.soak import processes

DEADLINE_MS = 3000
# A caller waits this much longer, to tell late answers from none.
PATIENCE_S = 4.0
TIMEOUT_S = DEADLINE_MS / 1000 + PATIENCE_S
PAUSE_S = (0.0, 0.08)
# Pauses of a caller whose connections are idle most of the time.
REST_S = (0.3, 4.0)
TCP_CLOSE = 7
PROMPT = {"Model": system.MODEL, "Token-Usage": "1000,50"}


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes
    ----------
    name, method, path
        What is asked.
    once
        Whether it may run once at most.
    stream
        Whether its answer is a stream.
    """

    name: str
    method: str
    path: str
    once: bool = False
    stream: bool = False


KINDS = (
    Kind("submit", "POST", "/submit/x", once=True),
    Kind("status", "GET", "/status/x"),
    Kind("draft", "POST", "/draft/x", stream=True),
    Kind("once", "POST", "/draft/once/x", once=True, stream=True),
    Kind("toggled", "GET", "/toggled/x"),
)


@dataclasses.dataclass
class Sent:
    """One request and what became of it.

    Attributes
    ----------
    id, kind, instance
        The request and where it was sent.
    sent_s, ended_s
        When, monotonic seconds.
    status
        Status of the answer; 0 for none.
    whole
        Whether the answer's end was seen.
    body, echo, signature
        The answer, the id that it names and its signature.
    answered_s, limit, leaving
        When the answer began, and what it says of its endpoint.
    version
        Version of HTTP that the caller speaks.
    key
        API key of the caller's organisation.
    read_pause_s
        For how long the caller left its answer unread.
    detail
        How it failed.
    ended
        The connection, if it ended in place of the answer.
    """

    id: str
    kind: Kind
    instance: processes.Instance
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    whole: bool = False
    body: bytes = b""
    echo: str = ""
    signature: str = ""
    answered_s: float = 0.0
    limit: str = ""
    leaving: bool = False
    version: str = "1.1"
    key: str = system.KEY
    read_pause_s: float = 0.0
    detail: str = ""
    ended: socket.socket | None = None

    def is_read(self) -> bool:
        """Tell whether the instance read it all and did not answer.

        A kernel resets a connection that is closed with bytes unread, or
        that gets more of them afterwards; one without a reset was read.
        This is known for sure once the process has ended.
        """
        if self.ended is None:
            return False
        state = self.ended.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return state[0] != TCP_CLOSE


class Connection(typing.Protocol):
    """A connection to an instance."""

    def close(self) -> None:
        """Close it."""


class Caller:
    """One caller with a kept connection to each instance.

    Parameters
    ----------
    number, seed
        Tell its requests from those of others.
    instances
        Where it sends to.
    stopping
        Ends it.
    pause_s
        Shortest and longest pause between two requests.
    """

    def __init__(
        self,
        number: int,
        seed: int,
        instances: list[processes.Instance],
        stopping: threading.Event,
        pause_s: tuple[float, float] = PAUSE_S,
    ) -> None:
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.instances = instances
        self.stopping = stopping
        self.pause_s = pause_s
        self.key = system.KEY
        self.kinds = KINDS
        self.connections: dict[str, Connection] = {}
        self.sent: list[Sent] = []
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Send one request after the other until stopped."""
        while not self.stopping.is_set():
            kind = self.random.choice(self.kinds)
            instance = self.random.choice(self.instances)
            self.send(kind, instance)
            self.stopping.wait(self.random.uniform(*self.pause_s))

    def send(self, kind: Kind, instance: processes.Instance) -> Sent:
        """Send a request and note what comes of it."""
        sent = Sent(
            f"c{self.number}-{len(self.sent)}",
            kind,
            instance,
            time.monotonic(),
            key=self.key,
        )
        self.sent.append(sent)
        address = instance.listen["callers"]
        connection = self.connections.pop(address, None)
        if connection is None:
            host, _, port = address.rpartition(":")
            connection = self.new_connection(host, int(port))
        try:
            closing = self.exchange(connection, sent)
        except (OSError, http.client.HTTPException) as error:
            sent.detail = f"{type(error).__name__}: {error}"
            closing = True
        sent.ended_s = time.monotonic()
        if closing:
            connection.close()
        else:
            self.connections[address] = connection
        return sent

    def new_connection(self, host: str, port: int) -> Connection:
        """Return a connection to an instance."""
        return http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)

    def request_of(self, sent: Sent) -> tuple[dict[str, str], bytes | None]:
        """Return the headers and the body of a request."""
        headers = {
            "Host": system.HOST,
            "Request-Id": sent.id,
            "Authorization": f"Bearer {self.key}",
            "Deadline-Ms": str(DEADLINE_MS),
        }
        if sent.kind.stream:
            part = self.random.randrange(20)
            headers |= PROMPT | {"Prefix-Hash": f"aa:600,b{part}:400"}
        body = sent.id.encode() if sent.kind.method == "POST" else None
        return headers, body

    def exchange(
        self, connection: http.client.HTTPConnection, sent: Sent
    ) -> bool:
        """Send and read the answer; tell whether the connection ends."""
        headers, body = self.request_of(sent)
        connection.request(sent.kind.method, sent.kind.path, body, headers)
        if not connection.sock.recv(1, socket.MSG_PEEK):
            sent.ended = connection.sock.dup()
        response = connection.getresponse()
        sent.answered_s = time.monotonic()
        sent.limit = response.headers.get("Server-Limit", "")
        sent.leaving = "Server-Leaving" in response.headers
        sent.status = response.status
        sent.echo = response.headers.get("Request-Id", "")
        sent.signature = response.headers.get("Response-Signature", "")
        sent.body = self.read(response, sent)
        sent.whole = True
        return response.will_close

    def read(self, response: http.client.HTTPResponse, sent: Sent) -> bytes:
        """Return the body of an answer."""
        return response.read()
