"""Answers of the platform's metadata store."""

from __future__ import annotations

import typing

import msgspec

from briarseam.feeds import records

# A larger one would count as a position of another era.
Position = typing.Annotated[int, msgspec.Meta(ge=0, lt=1 << records.ERA_BITS)]


class Item(msgspec.Struct):
    """The newest record of a key."""

    key: str
    # Base64.
    value: str = ""


class ItemKey(msgspec.Struct):
    """The key of a record whose value may be malformed."""

    key: str


class Newest(msgspec.Struct, rename="camel"):
    """One page of newest records; each is decoded separately."""

    items: list[msgspec.Raw] = []
    has_more: bool = False
    end: Position = 0


class Appended(msgspec.Struct):
    """Offset of the first appended record, and the end of the partition."""

    offset: Position = 0
    end: Position = 0


class Share(msgspec.Struct):
    """Partitions assigned to a group member: topic, partition, offset."""

    generation: Position
    parts: list[tuple[str, int, int]] = []
