from __future__ import annotations

import hypothesis
from hypothesis import strategies
import msgpack
import pytest
from tests.wire import sample

from briarseam.admission import messages as admission
from briarseam.wire import codec


def payload_of(value):
    return codec.encode(value)[codec.LENGTH.size :]


def test_message_and_stamp_are_decoded_as_encoded():
    # Bytes, enums and tuples must be decoded as the types that the fields of
    # the class declare.
    ended = admission.RunEnded(
        "r1", "", "e1", admission.RunResult.DONE, body=b"\x00\xff"
    )
    frame = codec.encode(ended, stamp=codec.MAX_STAMP)
    decoded = codec.decode_frame(frame[codec.LENGTH.size :])
    assert decoded == codec.Frame(ended, codec.MAX_STAMP)


@pytest.mark.parametrize(
    "payload",
    [
        pytest.param(b"", id="empty"),
        pytest.param(b"\xc1", id="not msgpack"),
        pytest.param(payload_of(sample.Query("x")) + b"\x00", id="trailing"),
        pytest.param(payload_of(sample.Query("x"))[:-1], id="cut short"),
        pytest.param(msgpack.packb(["unknown", {}, 0]), id="unknown tag"),
        pytest.param(msgpack.packb([["test-query"], {}, 0]), id="tag a list"),
        pytest.param(msgpack.packb(["test-query", {}, 0]), id="no field"),
        pytest.param(
            msgpack.packb(["test-query", {"text": 7}, 0]), id="wrong type"
        ),
        pytest.param(
            msgpack.packb(["test-query", {"text": "x"}]), id="no stamp"
        ),
        pytest.param(
            msgpack.packb(["test-query", {"text": "x"}, -1]),
            id="negative stamp",
        ),
        pytest.param(
            msgpack.packb(["test-query", {"text": "x"}, True]), id="bool stamp"
        ),
        pytest.param(
            msgpack.packb(["test-query", {"text": "x"}, "1"]), id="text stamp"
        ),
    ],
)
def test_malformed_payload_raises_codec_error(payload):
    # A handler must never receive a field of the wrong type, and a connection
    # handles this one type of error only.
    with pytest.raises(codec.CodecError):
        codec.decode(payload)


@pytest.mark.parametrize(
    "value",
    [
        pytest.param(
            sample.Query("x", blob=b"x" * codec.MAX_FRAME_BYTES),
            id="too large",
        ),
        pytest.param(sample.Query("x", count=2**64), id="integer too wide"),
        pytest.param(sample.Query("\ud800"), id="lone surrogate"),
        pytest.param(sample.Query(object()), id="no wire type"),
    ],
)
def test_message_that_cannot_be_encoded_raises_codec_error(value):
    # The client reports this error as a message that was not sent.
    with pytest.raises(codec.CodecError):
        codec.encode(value)


def test_duplicate_tag_is_rejected():
    # With one tag for two message types, messages would be decoded as the
    # wrong one.
    with pytest.raises(ValueError, match="already taken"):
        codec.message("test-query")(sample.Unhandled)


def decode_or_codec_error(payload):
    try:
        codec.decode(payload)
    except codec.CodecError:
        return


@hypothesis.given(strategies.binary(max_size=300))
def test_random_bytes_raise_only_codec_errors(payload):
    # Garbage from a faulty peer may close its connection, but must not raise
    # an exception that the connection doesn't handle.
    decode_or_codec_error(payload)


any_value = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.floats()
    | strategies.text(max_size=8)
    | strategies.binary(max_size=8)
    | strategies.builds(
        msgpack.ExtType,
        strategies.integers(0, 127),
        strategies.binary(max_size=4),
    ),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(max_size=8), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@hypothesis.given(
    tag=strategies.sampled_from(sorted(codec.types_by_tag)) | any_value,
    body=any_value,
    stamp=any_value,
)
def test_arbitrary_msgpack_raises_only_codec_errors(tag, body, stamp):
    # As above, for valid msgpack that isn't a valid message.
    decode_or_codec_error(msgpack.packb([tag, body, stamp]))


@hypothesis.given(
    strategies.integers(min_value=0), strategies.integers(0, 255)
)
def test_changed_byte_raises_only_codec_errors(place, byte):
    # As above, for a valid message that was corrupted in transit.
    payload = bytearray(payload_of(sample.Query("hello", 7, b"blob")))
    payload[place % len(payload)] = byte
    decode_or_codec_error(bytes(payload))


@hypothesis.given(
    strategies.text(strategies.characters(exclude_categories=["Cs"])),
    strategies.integers(-(2**63), 2**64 - 1),
    strategies.binary(),
    strategies.integers(0, codec.MAX_STAMP),
)
def test_decoded_message_equals_the_encoded_one(text, count, blob, stamp):
    query = sample.Query(text, count, blob)
    payload = codec.encode(query, stamp)[codec.LENGTH.size :]
    assert codec.decode_frame(payload) == codec.Frame(query, stamp)
