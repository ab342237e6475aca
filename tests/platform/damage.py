"""Documents a little or wholly wrong, and what may come of decoding them."""

from __future__ import annotations

import json
import math

import hypothesis
from hypothesis import strategies

from briarseam.platform import decoding

quick = hypothesis.settings(
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


def places(document, path=()):
    """Yield where something stands in a document."""
    yield path
    if isinstance(document, dict):
        inner = document.items()
    elif isinstance(document, list):
        inner = enumerate(document)
    else:
        return
    for key, value in inner:
        yield from places(value, (*path, key))


def changed(document, path, change):
    """Return a copy with one place changed, or left out."""
    if not path:
        return change(document)
    copy = dict(document) if isinstance(document, dict) else list(document)
    key, *rest = path
    if rest:
        copy[key] = changed(copy[key], rest, change)
        return copy
    try:
        copy[key] = change(copy[key])
    except LookupError:
        del copy[key]
    return copy


def leave_out(_value):
    raise LookupError


def damaged(document):
    """Return a strategy of documents' bytes, a little or wholly wrong."""
    paths = strategies.sampled_from(list(places(document)))
    whole = json.dumps(document).encode()
    replaced = strategies.builds(
        lambda path, value: changed(document, path, lambda _old: value),
        paths,
        values,
    ).map(as_json)
    without = paths.filter(bool).map(
        lambda path: as_json(changed(document, path, leave_out))
    )
    nested = strategies.builds(
        lambda depth, opening: b'{"x":' + opening * depth,
        strategies.sampled_from(DEPTHS),
        strategies.sampled_from([b"[", b'{"x":']),
    )
    cut = strategies.integers(0, len(whole)).map(lambda end: whole[:end])
    spoiled = strategies.builds(
        lambda place, byte: whole[:place] + byte + whole[place + 1 :],
        strategies.integers(0, len(whole) - 1),
        strategies.binary(min_size=1, max_size=2),
    )
    anything = strategies.binary(max_size=50) | values.map(as_json)
    return replaced | without | nested | cut | spoiled | anything


def as_json(value):
    """Return bytes as a careless writer would, with NaN and surrogates."""
    return json.dumps(value, ensure_ascii=False).encode(
        "utf-8", "surrogatepass"
    )


def is_sane(value):
    """Tell whether a decoded number can be summed, sent and waited for."""
    match value:
        case bool():
            return True
        case int() | float():
            return math.isfinite(value) and abs(value) <= decoding.MAX_NUMBER
        case dict():
            return all(map(is_sane, value.values()))
        case list() | tuple():
            return all(map(is_sane, value))
        case _ if hasattr(value, "__dataclass_fields__"):
            return all(
                is_sane(getattr(value, name))
                for name in value.__dataclass_fields__
            )
    return True


def decoded(decode, *arguments):
    """Return a decoder's result, ``None`` where it says malformed."""
    try:
        return decode(*arguments)
    except decoding.MalformedError:
        return None
