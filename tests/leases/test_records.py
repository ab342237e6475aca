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
def test_record_survives_the_wire(record):
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
    ids=["empty", "junk", "number", "kind", "no-kind", "field", "ttl"],
)
def test_malformed_record_is_told(data):
    with pytest.raises(records.RecordError):
        records.decode(data)


def test_later_release_is_told_apart_from_junk():
    with pytest.raises(records.NewerRecordError):
        records.decode(msgpack.packb([2, "borrow", {}]))
