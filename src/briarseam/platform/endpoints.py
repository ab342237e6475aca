"""Decoding the entries that endpoints keep of themselves."""

from __future__ import annotations

import typing

import msgspec

from briarseam.discovery import model
from briarseam.discovery import starts
from briarseam.platform import decoding

# An entry in another state is not of an endpoint as we know them.
State = typing.Literal["ready", "draining"]
LEAVING: State = "draining"


class WireModelVersion(msgspec.Struct):
    """A model that an endpoint serves."""

    name: decoding.Text
    version: decoding.Number = 0


class WireEndpoint(msgspec.Struct):
    """An endpoint's entry; the key of the record is its name.

    An entry without one of the first fields comes from another writer, and
    what it says must not be guessed.
    """

    service: decoding.Text
    address: decoding.Text
    zone: decoding.Text
    slots: decoding.Number
    state: State
    # Grows with each write.
    seq: int = 0
    # Time for which it goes on being slow after its start.
    cold_remaining_ms: float | None = msgspec.field(
        default=None, name="coldRemainingMs"
    )
    models: list[WireModelVersion] = []
    # Unix time of the endpoint's start, in ms; left out by older ones.
    born: decoding.Number = starts.UNKNOWN_MS


def decode_endpoint(key: str, data: bytes) -> model.Endpoint:
    """Return an endpoint from its entry.

    Raises
    ------
    MalformedError
        If the entry does not have its documented form.
    """
    wire = decoding.decode(data, WireEndpoint)
    return model.Endpoint(
        id=starts.Start(decoding.check_id(key), wire.born).id,
        service=wire.service,
        address=decoding.check_address(wire.address),
        zone=wire.zone,
        slots=max(1, wire.slots),
        leaving=wire.state == LEAVING,
        versions={item.name: item.version for item in wire.models},
    )
