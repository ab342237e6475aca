"""Decoding which start of an endpoint or store something comes from."""

from __future__ import annotations

import typing

import msgspec

# Whole numbers up to here mean the same to all writers of JSON.
MAX_WHOLE = 2**53

# Unix time in milliseconds at which the sender started.  It stands under
# the name "born" at the top level of entries, reports, and pages and lists
# of KV cache; senders of before leave it out, which is 0 here.
Born = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WHOLE)]
