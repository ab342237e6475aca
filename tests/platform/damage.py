"""Strategies for malformed documents, and checks of decoded results."""

from __future__ import annotations

import json
import math

import hypothesis
from hypothesis import strategies

from briarseam.platform import decoding

QUICK = hypothesis.settings(
    max_examples=150,
    deadline=None,
    derandomize=True,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
DEPTHS = (10, 1_000, 100_000)

scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.sampled_from(
        [-1, 2**53 + 1, 2**63, 2**64, 10**30, 10**400, -(10**30)]
    )
    | strategies.floats()
    | strategies.text(max_size=20)
    | strategies.sampled_from(["x" * 100_000, "\ud800", "\0", "\r\n", "é"])
)
values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=3)
        | strategies.dictionaries(
            strategies.text(max_size=5), inner, max_size=3
        )
    ),
    max_leaves=6,
)


def paths_in(document, path=()):
    """Yield the path of each value in a document."""
    yield path
    if isinstance(document, dict):
        inner = document.items()
    elif isinstance(document, list):
        inner = enumerate(document)
    else:
        return
    for key, value in inner:
        yield from paths_in(value, (*path, key))


def replace_at(document, path, change):
    """Return a copy with one value replaced or removed."""
    if not path:
        return change(document)
    copy = dict(document) if isinstance(document, dict) else list(document)
    key, *rest = path
    if rest:
        copy[key] = replace_at(copy[key], rest, change)
        return copy
    try:
        copy[key] = change(copy[key])
    except LookupError:
        del copy[key]
    return copy


def remove(_value):
    raise LookupError


def damaged_documents(document):
    """Return a strategy for encoded documents with partial or full damage."""
    paths = strategies.sampled_from(list(paths_in(document)))
    encoded = json.dumps(document).encode()
    replaced = strategies.builds(
        lambda path, value: replace_at(document, path, lambda _old: value),
        paths,
        values,
    ).map(as_json)
    removed = paths.filter(bool).map(
        lambda path: as_json(replace_at(document, path, remove))
    )
    nested = strategies.builds(
        lambda depth, opening: b'{"x":' + opening * depth,
        strategies.sampled_from(DEPTHS),
        strategies.sampled_from([b"[", b'{"x":']),
    )
    truncated = strategies.integers(0, len(encoded)).map(
        lambda end: encoded[:end]
    )
    overwritten = strategies.builds(
        lambda position, byte: (
            encoded[:position] + byte + encoded[position + 1 :]
        ),
        strategies.integers(0, len(encoded) - 1),
        strategies.binary(min_size=1, max_size=2),
    )
    arbitrary = strategies.binary(max_size=50) | values.map(as_json)
    return replaced | removed | nested | truncated | overwritten | arbitrary


def as_json(value):
    """Encode a value without checks, with NaN and surrogates."""
    return json.dumps(value, ensure_ascii=False).encode(
        "utf-8", "surrogatepass"
    )


def is_bounded(value):
    """Return whether all numbers in a decoded value are finite and bounded."""
    match value:
        case bool():
            return True
        case int() | float():
            return math.isfinite(value) and abs(value) <= decoding.MAX_NUMBER
        case dict():
            return all(map(is_bounded, value.values()))
        case list() | tuple():
            return all(map(is_bounded, value))
        case _ if hasattr(value, "__dataclass_fields__"):
            return all(
                is_bounded(getattr(value, name))
                for name in value.__dataclass_fields__
            )
    return True


def decode_or_none(decode, *arguments):
    """Return a decoder's result; ``None`` if the input is malformed."""
    try:
        return decode(*arguments)
    except decoding.MalformedError:
        return None
