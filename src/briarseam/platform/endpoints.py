"""Decoding the entries that endpoints keep of themselves."""

from __future__ import annotations

import msgspec

from briarseam.discovery import model
from briarseam.discovery import starts
from briarseam.platform import decoding
from briarseam.platform import starts as wire_starts

LEAVING = "draining"


class WireModelVersion(msgspec.Struct):
    """A model that an endpoint serves."""

    name: str
    version: int = 0


class WireEndpoint(msgspec.Struct):
    """An endpoint's entry; the key of the record is its name."""

    service: str
    address: str
    zone: str = ""
    slots: int = 1
    state: str = "ready"
    models: list[WireModelVersion] = []
    born: wire_starts.Born = starts.UNKNOWN_MS


def decode_endpoint(key: str, data: bytes) -> model.Endpoint:
    """Return an endpoint from its entry.

    Raises
    ------
    MalformedError
        If the entry does not have its documented form.
    """
    wire = decoding.decode(data, WireEndpoint)
    return model.Endpoint(
        id=starts.Start(key, wire.born).id,
        service=wire.service,
        address=wire.address,
        zone=wire.zone,
        slots=max(1, wire.slots),
        leaving=wire.state == LEAVING,
        versions={item.name: item.version for item in wire.models},
    )
