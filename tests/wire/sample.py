"""Messages that only these tests know."""

from __future__ import annotations

import dataclasses

from briarseam.wire import codec


@codec.message("test-ask")
@dataclasses.dataclass(frozen=True)
class Ask:
    text: str
    count: int = 0
    blob: bytes = b""


@codec.message("test-told")
@dataclasses.dataclass(frozen=True)
class Told:
    text: str
    count: int


@codec.message("test-unheard")
@dataclasses.dataclass(frozen=True)
class Unheard:
    text: str
