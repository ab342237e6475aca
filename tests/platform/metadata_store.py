"""Stand-in for the platform's metadata store: a log with keyed topics.

It can be restored from a backup: later writes are lost, offsets and
generations continue from those of the backup, and the era in the header of
all answers increases by one.
"""

from __future__ import annotations

import base64
import collections
import copy
import dataclasses
import struct
import threading
import time

import msgspec

from briarseam.testing import http_messages
from briarseam.testing import stand_in
from briarseam.testing import switches

LENGTH = struct.Struct(">I")
POSITIONS = struct.Struct(">QQ")
POLL_S = 0.01
ERA_HEADER = "Store-Era"


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of the store.

    Attributes
    ----------
    late_writes
        Number of next appends that get no answer and take effect later.
    late_ms
        Delay until they take effect.
    """

    late_writes: switches.Count = 0
    late_ms: switches.Count = 1500


@dataclasses.dataclass
class Group:
    """Members of a group and when each membership expires."""

    generation: int = 0
    members: dict[str, float] = dataclasses.field(default_factory=dict)
    holder: str = ""


@dataclasses.dataclass(frozen=True)
class Copy:
    """A backup of the store."""

    topics: dict[str, list[bytes]]
    first: dict[str, int]
    groups: dict[str, Group]


class MetadataStore(stand_in.StandIn[Switches]):
    """Store that holds topics of one partition in memory."""

    def __init__(self, listen: str = "127.0.0.1:0") -> None:
        super().__init__(Switches(), listen)
        self.lock = threading.Lock()
        self.topics = collections.defaultdict(list)
        self.first = collections.defaultdict(int)
        self.groups = collections.defaultdict(Group)
        self.calls = collections.Counter()
        self.era = 1

    def write(self, topic: str, key: str, document: object) -> None:
        """Write a keyed record; ``None`` removes the key."""
        value = b"" if document is None else msgspec.json.encode(document)
        self.write_raw(topic, key, value)

    def write_raw(self, topic: str, key: str, value: bytes) -> None:
        """Write a keyed record with an encoded value."""
        name = key.encode()
        with self.lock:
            self.topics[topic].append(bytes([len(name)]) + name + value)

    def forget(self, topic: str) -> None:
        """Drop a topic's history; the newest record of each key stays."""
        with self.lock:
            self.first[topic] = len(self.topics[topic])

    def copy(self) -> Copy:
        """Return a backup of the store."""
        with self.lock:
            return copy.deepcopy(
                Copy(dict(self.topics), dict(self.first), dict(self.groups))
            )

    def restore(self, old: Copy) -> None:
        """Restore a backup; later writes are lost."""
        old = copy.deepcopy(old)
        with self.lock:
            self.topics = collections.defaultdict(list, old.topics)
            self.first = collections.defaultdict(int, old.first)
            self.groups = collections.defaultdict(Group, old.groups)
            self.era += 1

    def newest_of(self, topic: str) -> dict[str, bytes]:
        """Return the newest value of each key of a topic."""
        with self.lock:
            found = {}
            for record in self.topics[topic]:
                end = 1 + record[0]
                found[record[1:end].decode()] = record[end:]
        return {key: value for key, value in found.items() if value}

    def answer(self, request: http_messages.Request) -> http_messages.Response:
        """Answer one call, with the era in a header."""
        answered = self.answer_call(request)
        headers = (*answered.headers, (ERA_HEADER, str(self.era)))
        return dataclasses.replace(answered, headers=headers)

    def answer_call(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """Answer one call."""
        name = request.path[-1]
        self.calls[name] += 1
        match request.method, name:
            case "POST", "log-append":
                return self.append(request)
            case "GET", "log-read":
                return self.read(request)
            case "GET", "log-newest":
                return self.newest(request)
            case "POST", "log-join":
                return self.join(msgspec.json.decode(request.body))
            case "POST", "log-leave":
                return self.leave(msgspec.json.decode(request.body))
        return stand_in.no_such_call(request)

    def append(self, request: http_messages.Request) -> http_messages.Response:
        """Append all records or none."""
        found = []
        body = request.body
        while body:
            (length,) = LENGTH.unpack_from(body)
            found.append(body[LENGTH.size : LENGTH.size + length])
            body = body[LENGTH.size + length :]
        if self.take("late_writes"):
            self.stopping.wait(self.switches.late_ms / 1000)
            self.append_all(request, found)
            raise http_messages.Dropped
        return self.append_all(request, found)

    def append_all(
        self, request: http_messages.Request, found: list[bytes]
    ) -> http_messages.Response:
        """Append records if the call's expected end matches."""
        with self.lock:
            records = self.topics[request.query["topic"]]
            end = len(records)
            if request.number("at", end) != end:
                return http_messages.json_response(412, {"end": end})
            records.extend(found)
        return http_messages.json_response(
            200, {"offset": end, "end": end + len(found)}
        )

    def read(self, request: http_messages.Request) -> http_messages.Response:
        """Return records; wait for the first one."""
        topic = request.query["topic"]
        start = request.number("from", 0)
        until = time.monotonic() + request.number("waitMs", 0) / 1000
        while True:
            with self.lock:
                first = self.first[topic]
                records = self.topics[topic][start:]
                end = len(self.topics[topic])
            if not first <= start <= end:
                return http_messages.json_response(410, {"first": first})
            if records or time.monotonic() >= until or self.stopping.is_set():
                body = b"".join(
                    LENGTH.pack(len(record)) + record for record in records
                )
                return http_messages.Response(
                    200, POSITIONS.pack(end, first) + body
                )
            self.stopping.wait(POLL_S)

    def newest(self, request: http_messages.Request) -> http_messages.Response:
        """Return the newest record of each key."""
        topic = request.query["topic"]
        after = request.query.get("after", "")
        found = sorted(self.newest_of(topic).items())
        page = [item for item in found if item[0] > after][:500]
        items = [
            {"key": key, "value": base64.b64encode(value).decode()}
            for key, value in page
        ]
        with self.lock:
            end = len(self.topics[topic])
        more = bool(page) and page[-1][0] != found[-1][0]
        return http_messages.json_response(
            200, {"items": items, "hasMore": more, "end": end}
        )

    def join(self, body: dict) -> http_messages.Response:
        """Join a group; its one partition is assigned to the first member."""
        now = time.monotonic()
        with self.lock:
            group = self.groups[body["group"]]
            group.members = {
                name: until
                for name, until in group.members.items()
                if until > now
            }
            if body["member"] not in group.members:
                group.generation += 1
            group.members[body["member"]] = now + body["ttlMs"] / 1000
            if group.holder not in group.members:
                group.holder = body["member"]
            parts = []
            if group.holder == body["member"]:
                parts = [[topic, 0, 0] for topic in body["topics"]]
            return http_messages.json_response(
                200, {"generation": group.generation, "parts": parts}
            )

    def leave(self, body: dict) -> http_messages.Response:
        """Leave a group."""
        with self.lock:
            group = self.groups[body["group"]]
            group.members.pop(body["member"], None)
            group.generation += 1
            if group.holder == body["member"]:
                group.holder = next(iter(group.members), "")
        return http_messages.json_response(200, {})
