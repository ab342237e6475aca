from __future__ import annotations

import msgpack
import pytest

from briarseam.leases import records

ACQUIRE = records.Acquire("id", "a", "m", 1000, 3)
RENEW = records.Renew("id", "a", 1000, (records.Term("m", 4),))
RELEASE = records.Release("id", "a", (records.Term("m", 4),))


@pytest.mark.parametrize(
    "record", [ACQUIRE, RENEW, RELEASE], ids=["acquire", "renew", "release"]
)
def test_record_is_decoded_as_encoded(record):
    assert records.decode(records.encode(record)) == record


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        msgpack.packb(7),
        msgpack.packb([1, "steal", {}]),
        msgpack.packb([1, [], {}]),
        msgpack.packb([1, "acquire", {"record_id": 4}]),
        records.encode(records.Acquire("id", "a", "m", 10**9, 3)),
    ],
    ids=[
        "empty",
        "junk",
        "number",
        "unknown-kind",
        "invalid-kind",
        "field",
        "ttl",
    ],
)
def test_malformed_record_raises_record_error(data):
    with pytest.raises(records.RecordError):
        records.decode(data)


def test_record_of_a_later_release_raises_newer_record_error():
    with pytest.raises(records.NewerRecordError):
        records.decode(msgpack.packb([2, "borrow", {}]))
