"""Answers of the platform's metadata store."""

from __future__ import annotations

import msgspec


class Item(msgspec.Struct):
    """The newest record of a key."""

    key: str
    # Base64.
    value: str = ""


class Newest(msgspec.Struct, rename="camel"):
    """One page of newest records; each is decoded separately."""

    items: list[msgspec.Raw] = []
    has_more: bool = False
    end: int = 0


class Appended(msgspec.Struct):
    """Offset of the first appended record, and the end of the partition."""

    offset: int = 0
    end: int = 0


class Share(msgspec.Struct):
    """Partitions assigned to a group member: topic, partition, offset."""

    generation: int
    parts: list[tuple[str, int, int]] = []
