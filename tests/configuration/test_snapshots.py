from __future__ import annotations

import pytest

from briarseam.backing import log as logs
from briarseam.configuration import fold as folds
from briarseam.configuration import snapshots

KEY = b"snapshots' key"


def fold_through(offset, path="models/a"):
    fold = folds.Fold()
    fold.put(path, offset, {"version": "1"})
    fold.remember_id("id", offset)
    fold.offset = offset
    return fold


def append(client, fold, key=KEY):
    for chunk in snapshots.make_chunks(fold):
        client.append(snapshots.STREAM, snapshots.encode_chunk(chunk, key))


@pytest.mark.parametrize("wrong", ["offset", "digest", "bytes"])
def test_state_that_does_not_match_its_offset_or_digest_is_rejected(wrong):
    fold = fold_through(3)
    state = snapshots.pack_state(fold)
    with pytest.raises(snapshots.SnapshotError):
        snapshots.unpack_state(
            b"x" + state if wrong == "bytes" else state,
            4 if wrong == "offset" else 3,
            "0" * 32 if wrong == "digest" else fold.digest,
        )


def test_complete_snapshot_is_found_among_interleaved_chunks(log, monkeypatch):
    # Two agents write the same snapshot at once and a third one fails after
    # some chunks.  A starting agent must find a complete snapshot, however
    # far back in the stream.
    monkeypatch.setattr(snapshots, "CHUNK_BYTES", 32)
    client = logs.LogClient(log.address)
    one = snapshots.make_chunks(fold_through(5))
    two = snapshots.make_chunks(fold_through(5))
    broken = snapshots.make_chunks(fold_through(9))[:-1]
    mixed = [chunk for pair in zip(one, two, strict=True) for chunk in pair]
    for chunk in [*mixed, *broken * 30]:
        client.append(snapshots.STREAM, snapshots.encode_chunk(chunk, KEY))
    newest, end = snapshots.newest_complete(client, KEY)
    assert newest.through == 5
    assert end == len(mixed) + 30 * len(broken)


def test_oldest_snapshot_that_reaches_the_offset_is_found(log):
    client = logs.LogClient(log.address)
    for offset in (2, 4, 6):
        append(client, fold_through(offset))
    assert snapshots.oldest_complete(client, KEY, 3).through == 4
    assert snapshots.oldest_complete(client, KEY, 7) is None
