"""Decodes the entries that endpoints publish about themselves."""

from __future__ import annotations

import typing

import msgspec

from briarseam.discovery import model
from briarseam.discovery import starts
from briarseam.platform import decoding

# An entry in any other state is malformed.
State = typing.Literal["ready", "draining"]
LEAVING: State = "draining"
MS = 1000.0


class WireModelVersion(msgspec.Struct):
    """A model that an endpoint serves."""

    name: decoding.Text
    version: decoding.Number = 0


class WireEndpoint(msgspec.Struct):
    """An endpoint's entry; the key of the record is its name.

    The fields without defaults are required: an entry that lacks one was
    not written by an endpoint, and guessed values could misroute requests.
    """

    service: decoding.Text
    address: decoding.Text
    zone: decoding.Text
    slots: decoding.Number
    state: State
    # Increases with each write.
    seq: int = 0
    # Remaining time of the slow phase after the start.
    cold_remaining_ms: decoding.Millis | None = msgspec.field(
        default=None, name="coldRemainingMs"
    )
    models: list[WireModelVersion] = []
    # Of its software, not of the weights.
    version: decoding.Text = ""
    # Unix time of the endpoint's start, in ms; older endpoints omit it.
    born: decoding.Number = starts.UNKNOWN_MS


def decode_endpoint(key: str, data: bytes) -> model.Endpoint:
    """Decode an endpoint's entry.

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
        software=wire.version,
        versions={item.name: item.version for item in wire.models},
        cold_remaining_s=(
            None
            if wire.cold_remaining_ms is None
            else wire.cold_remaining_ms / MS
        ),
    )
