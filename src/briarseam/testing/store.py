"""Stand-in for a store instance, which keeps blocks in memory and on disk."""

from __future__ import annotations

import collections.abc
import dataclasses
import uuid

from briarseam.testing import checksums
from briarseam.testing import http_messages
from briarseam.testing import rates
from briarseam.testing import stand_in
from briarseam.testing import store_blocks
from briarseam.testing import switches

DEFAULT_CAPACITY = 256 << 20
DEFAULT_PAGE = 1000


@dataclasses.dataclass(frozen=True)
class Switches(switches.Switches):
    """Switches of a store.

    Attributes
    ----------
    link_bytes_per_s
        Rate of the link, shared by all transfers; 0 sets no limit.
    capacity
        Room in bytes, both tiers together.
    memory_bytes
        Room in bytes of the memory tier.
    disk_bytes_per_s
        Rate at which the disk tier is read; 0 sets no limit.
    half_writes
        So many of the next writes keep half of the bytes, yet answer as if
        whole.
    corrupt_reads
        So many of the next reads give a wrong byte.
    """

    link_bytes_per_s: switches.Amount = 0
    capacity: switches.Count = DEFAULT_CAPACITY
    memory_bytes: switches.Count = DEFAULT_CAPACITY
    disk_bytes_per_s: switches.Amount = 0
    half_writes: switches.Count = 0
    corrupt_reads: switches.Count = 0


@dataclasses.dataclass(frozen=True)
class Written:
    """Answer to a write."""

    bytes: int
    checksum: str


@dataclasses.dataclass(frozen=True)
class Listing:
    """Answer of ``GET /blocks``."""

    boot_id: str
    blocks: list[tuple[str, int, str, int]]
    more: bool


@dataclasses.dataclass(frozen=True)
class StoreState:
    """Answer of ``GET /state``."""

    boot_id: str
    used: int
    capacity: int
    tiers: store_blocks.Tiers


class Store(stand_in.StandIn[Switches]):
    """A store instance.

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
        self.boot_id = uuid.uuid4().hex
        self.blocks = store_blocks.Blocks()
        self.link = rates.Link()
        self.disk = rates.Link()

    def answer_control(self, name: str) -> http_messages.Response:
        """Answer ``GET /control/traffic``.

        Parameters
        ----------
        name
            What is asked for.

        Returns
        -------
        http_messages.Response
            Bytes moved over the link, or 404.
        """
        if name == "traffic":
            moved = {"moved": self.link.moved}
            return http_messages.json_response(200, moved)
        return super().answer_control(name)

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
            case "PUT", ("blocks", name):
                return self.put(name, request)
            case "GET", ("blocks", name):
                return self.get(name)
            case "DELETE", ("blocks", name):
                self.blocks.delete(name)
                return http_messages.Response(204)
            case "GET", ("blocks",):
                return self.list_blocks(request)
            case "GET", ("state",):
                return http_messages.json_response(200, self.state())
        return stand_in.no_such_call(request)

    def put(
        self, name: str, request: http_messages.Request
    ) -> http_messages.Response:
        """Keep a block.

        Parameters
        ----------
        name
            Its name.
        request
            The call with bytes and checksum.

        Returns
        -------
        http_messages.Response
            Length and checksum, 409, 422 or 507.
        """
        content = request.body
        checksum = checksums.checksum_of(content)
        given = request.headers.get(http_messages.CHECKSUM_HEADER.lower())
        if given != checksum:
            return http_messages.problem(422, "checksum differs")
        try:
            self.write(name, content, checksum)
        except store_blocks.NameTaken:
            return http_messages.problem(409, "name exists")
        except store_blocks.Full:
            return http_messages.problem(507, "full")
        answer = Written(len(content), checksum)
        return http_messages.json_response(200, answer)

    def write(self, name: str, content: bytes, checksum: str) -> None:
        """Move a block over the link and keep it.

        Parameters
        ----------
        name
            Its name.
        content
            Its bytes.
        checksum
            Their checksum.

        Raises
        ------
        store_blocks.NameTaken
            When the name exists.
        store_blocks.Full
            When there is no room.
        http_messages.Dropped
            When the store stops meanwhile.
        """
        self.blocks.check(name, len(content), self.switches.capacity)
        rate = self.switches.link_bytes_per_s
        self.link.transfer(len(content), rate, self.stopping)
        if self.stopping.is_set():
            raise http_messages.Dropped
        if self.take("half_writes"):
            content = content[: len(content) // 2]
        self.blocks.write(
            name,
            content,
            checksum,
            self.switches.capacity,
            self.switches.memory_bytes,
        )

    def get(self, name: str) -> http_messages.Response:
        """Give a block.

        Parameters
        ----------
        name
            Its name.

        Returns
        -------
        http_messages.Response
            Its bytes as the links let them through, or 404.
        """
        found = self.blocks.read(name, self.switches.memory_bytes)
        if found is None:
            return http_messages.problem(404, "no such block")
        content = found.block.content
        if content and self.take("corrupt_reads"):
            content = corrupted(content)
        headers = (
            (http_messages.CHECKSUM_HEADER, found.block.checksum),
            ("Content-Length", str(len(content))),
        )
        body = self.send(content, found.from_disk)
        return http_messages.Response(200, body, headers=headers)

    def send(
        self, content: bytes, from_disk: bool
    ) -> collections.abc.Iterator[bytes]:
        """Give bytes as the links let them through.

        Parameters
        ----------
        content
            The bytes.
        from_disk
            Whether they come from the disk tier.

        Yields
        ------
        bytes
            The next part.

        Raises
        ------
        http_messages.Dropped
            When the store stops meanwhile.
        """
        for start in range(0, len(content), rates.TRANSFER_BYTES):
            part = content[start : start + rates.TRANSFER_BYTES]
            if from_disk:
                disk_rate = self.switches.disk_bytes_per_s
                self.disk.transfer(len(part), disk_rate, self.stopping)
            rate = self.switches.link_bytes_per_s
            self.link.transfer(len(part), rate, self.stopping)
            if self.stopping.is_set():
                raise http_messages.Dropped
            yield part

    def list_blocks(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        """List blocks in name order.

        Parameters
        ----------
        request
            The call with ``after`` and ``max``.

        Returns
        -------
        http_messages.Response
            One page of the list.
        """
        limit = request.number("max", DEFAULT_PAGE)
        found = self.blocks.after(request.query.get("after", ""))
        rows = [
            (name, len(block.content), block.checksum, block.time_ms)
            for name, block in found[:limit]
        ]
        listing = Listing(self.boot_id, rows, len(found) > limit)
        return http_messages.json_response(200, listing)

    def state(self) -> StoreState:
        """Return how full the store is.

        Returns
        -------
        StoreState
            Use and room.
        """
        capacity = self.switches.capacity
        tiers = self.blocks.tiers(capacity, self.switches.memory_bytes)
        used = tiers.memory.used + tiers.disk.used
        return StoreState(self.boot_id, used, capacity, tiers)


def corrupted(content: bytes) -> bytes:
    """Change one byte in the middle.

    Parameters
    ----------
    content
        The bytes, at least one.

    Returns
    -------
    bytes
        As many bytes, one of them wrong.
    """
    middle = len(content) // 2
    wrong = bytes([content[middle] ^ 0xFF])
    return content[:middle] + wrong + content[middle + 1 :]
