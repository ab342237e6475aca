"""Crowds of clients that do not behave, against a process of its own.

Crowds and limits are fixed.  Checked is that the process lives, stays within
the limits of its machine, and answers an ordinary request afterwards.
"""

from __future__ import annotations

import pytest

from tests.clients import crowds
from tests.clients import machines
from tests.platform import system

pytestmark = [pytest.mark.alone, pytest.mark.timeout(180)]

SECONDS = 6.0
# State that outlives its requests grows more slowly.
GROWTH_S = 20.0
BODY_BYTES = 4 * 1024 * 1024
HEAD_BYTES = 16384
KIB = 1024
# Short fields that fill a head up to its limit, and parts of a prompt.
FIELDS = 2200
PARTS = 1450

ROUTE = "/submit/x"
NO_ROUTE = "/nothing/x"
STREAM = "/draft/x"
LOOKUP = "/briarseam/resolve?name=kitchens.example&region=north&zone=hall-a"
# Every port that clients reach, and what they ask for there.
PATHS = {
    "route": ("callers", ROUTE),
    "no-route": ("callers", NO_ROUTE),
    "readiness": ("readiness", machines.READY),
    "lookups": ("lookups", LOOKUP),
    "metrics": ("metrics", "/metrics"),
    "relays": ("relays", ROUTE),
}
CALLERS = ("route", "no-route")


def head(path: str, *fields: str, method: str = "POST") -> bytes:
    """Return a head with the fields of an ordinary request."""
    lines = (
        f"{method} {path} HTTP/1.1",
        f"Host: {system.HOST}",
        f"Authorization: Bearer {system.KEY}",
        *fields,
    )
    return "\r\n".join(lines).encode() + b"\r\n"


def with_length(path: str, size: int) -> bytes:
    """Return the head of a request whose body has a length."""
    return head(path, "Request-Id: r", f"Content-Length: {size}") + b"\r\n"


def in_chunks(path: str) -> bytes:
    """Return the head of a request whose body comes in chunks."""
    return head(path, "Request-Id: r", "Transfer-Encoding: chunked") + b"\r\n"


def chunk(size: int) -> bytes:
    """Return a chunk of a body."""
    return b"%x\r\n" % size + b"x" * size + b"\r\n"


def many_fields(path: str, count: int = FIELDS) -> bytes:
    """Return a head, without its end, of many short fields."""
    fields = b"".join(b"%x:\r\n" % number for number in range(count))
    return head(path, "Request-Id: r") + fields


def play(
    machine,
    place: str,
    client: crowds.Client,
    size: int,
    seconds: float = SECONDS,
) -> None:
    """Have a crowd come and leave, then check the process."""
    port, _path = PATHS[place]
    address = machine.address(port)
    with crowds.crowding(address, client, size, seconds):
        pass
    machine.check()


@pytest.mark.parametrize("place", PATHS)
def test_bodies_that_stop_short_of_their_end(machine, place):
    """Guards against bodies of legal size, many at once, in one piece."""
    client = crowds.Client(
        with_length(PATHS[place][1], BODY_BYTES), b"x", BODY_BYTES - 1
    )
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", CALLERS)
def test_bodies_in_small_pieces(machine, place):
    """Guards against the same in pieces of a KiB."""
    client = crowds.Client(
        with_length(PATHS[place][1], BODY_BYTES),
        b"x" * KIB,
        BODY_BYTES // KIB - 1,
        separate=True,
    )
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", PATHS)
def test_bodies_in_small_chunks(machine, place):
    """Guards against the same in chunks of 64 bytes."""
    client = crowds.Client(in_chunks(PATHS[place][1]), chunk(64), 16000)
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", CALLERS)
def test_bodies_of_one_chunk(machine, place):
    """Guards against the same in one chunk, of which a byte is missing."""
    announced = in_chunks(PATHS[place][1]) + b"%x\r\n" % BODY_BYTES
    client = crowds.Client(announced, b"x", BODY_BYTES - 1)
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", PATHS)
def test_bodies_with_a_length_far_over_the_limit(machine, place):
    """Guards against lengths of 10 GB that are announced and sent."""
    client = crowds.Client(
        with_length(PATHS[place][1], 10**10), b"x", None, reopens=True
    )
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", PATHS)
def test_bodies_of_chunks_without_end(machine, place):
    """Guards against chunks of a MiB without end."""
    client = crowds.Client(
        in_chunks(PATHS[place][1]), chunk(KIB * KIB), None, reopens=True
    )
    play(machine, place, client, 300)


@pytest.mark.parametrize("place", PATHS)
def test_heads_of_many_fields_that_stop_short(machine, place):
    """Guards against heads of legal size that weigh much once read."""
    client = crowds.Client(many_fields(PATHS[place][1]))
    play(machine, place, client, 450)


@pytest.mark.parametrize("place", PATHS)
def test_requests_of_many_fields_again_and_again(machine, place):
    """Guards against the same, whole and repeated."""
    request = many_fields(PATHS[place][1]) + b"Content-Length: 0\r\n\r\n"
    client = crowds.Client(b"", request, None, reopens=True)
    play(machine, place, client, 100)


@pytest.mark.parametrize("place", PATHS)
def test_requests_sent_ahead_without_reading(machine, place):
    """Guards against many requests at once whose answers are not read."""
    request = (
        head(PATHS[place][1], "Request-Id: r", "Content-Length: 0") + b"\r\n"
    )
    client = crowds.Client(b"", request, None, reads=False)
    play(machine, place, client, 100)


@pytest.mark.parametrize("place", PATHS)
def test_heads_that_stop_half_way(machine, place):
    """Guards against more such connections than there are descriptors."""
    client = crowds.Client(head(PATHS[place][1]))
    play(machine, place, client, 1000)


@pytest.mark.parametrize("place", PATHS)
def test_heads_that_stop_half_way_again_and_again(machine, place):
    """Guards against the same, opened again as soon as they are closed."""
    client = crowds.Client(head(PATHS[place][1]), reopens=True)
    play(machine, place, client, 1000)


@pytest.mark.parametrize("place", PATHS)
def test_connections_that_say_nothing(machine, place):
    """Guards against more idle connections than there are descriptors."""
    play(machine, place, crowds.Client(), 1000)


@pytest.mark.parametrize("place", PATHS)
def test_heads_that_come_a_byte_at_a_time(machine, place):
    """Guards against heads that go on for as long as they can."""
    client = crowds.Client(
        head(PATHS[place][1]), b"x", None, pause_s=0.2, reopens=True
    )
    play(machine, place, client, 600)


@pytest.mark.parametrize("place", CALLERS)
def test_bodies_that_come_a_byte_at_a_time(machine, place):
    """Guards against bodies that go on for as long as they can."""
    client = crowds.Client(
        with_length(PATHS[place][1], BODY_BYTES),
        b"x",
        None,
        pause_s=0.2,
        reopens=True,
    )
    play(machine, place, client, 600)


def test_large_requests_of_callers_who_read_nothing(machine):
    """Guards against bodies, whole and legal, from callers who don't read."""
    request = with_length(ROUTE, BODY_BYTES) + b"x" * BODY_BYTES
    client = crowds.Client(b"", request, None, reads=False, reopens=True)
    play(machine, "route", client, 60)


@pytest.mark.parametrize("tokens", [0, 1])
@pytest.mark.parametrize(("count", "characters"), [(PARTS, 9), (3, 4900)])
def test_prompts_of_new_parts_again_and_again(
    machine, count, characters, tokens
):
    """Guards against state that grows with the parts of prompts."""

    def make(number: int) -> bytes:
        ids = (f"{number:x}{i:04x}".zfill(characters) for i in range(count))
        parts = ",".join(f"{one[-characters:]}:{tokens}" for one in ids)
        return (
            head(
                STREAM,
                f"Request-Id: r{number}",
                f"Model: {system.MODEL}",
                f"Token-Usage: {count},5",
                f"Prefix-Hash: {parts}",
                "Connection: close",
                "Content-Length: 2",
            )
            + b"\r\n{}"
        )

    client = crowds.Client(make=make, reopens=True)
    play(machine, "route", client, 50, GROWTH_S)


def test_streams_that_are_read_slowly(machine):
    """Guards against answers that wait for their callers."""
    machine.workers[1].set(events=5000)
    request = head(
        STREAM,
        "Request-Id: r",
        f"Model: {system.MODEL}",
        "Token-Usage: 100,5000",
        "Prefix-Hash: aa:60,bb:40",
        "Content-Length: 2",
    )
    client = crowds.Client(request + b"\r\n{}", read_pause_s=0.1, reopens=True)
    play(machine, "route", client, 300)


@pytest.mark.parametrize("path", [ROUTE, NO_ROUTE, STREAM])
def test_requests_with_long_new_ids_again_and_again(machine, path):
    """Guards against state, and log lines, that grow with ids."""

    def make(number: int) -> bytes:
        return (
            head(
                f"{path}?{number}" + "q" * 2000,
                f"Request-Id: {number}" + "i" * 6000,
                f"Resumes: {number}" + "s" * 100,
                f"Model: {system.MODEL}",
                f"Prefix-Hash: {number:x}" + "f" * 4000 + ":1",
                "Connection: close",
                "Content-Length: 2",
            )
            + b"\r\n{}"
        )

    client = crowds.Client(make=make, reopens=True)
    play(machine, "route", client, 50)
