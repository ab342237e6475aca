"""Message types for these tests."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("test-query")
@dataclasses.dataclass(frozen=True)
class Query:
    text: str
    count: int = 0
    blob: bytes = b""


@codec.message("test-answer")
@dataclasses.dataclass(frozen=True)
class Answer:
    text: str
    count: int


@codec.message("test-unhandled")
@dataclasses.dataclass(frozen=True)
class Unhandled:
    text: str
