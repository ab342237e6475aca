from __future__ import annotations

import collections

import pytest

from briarseam.cache import pieces
from briarseam.testing import engine_cache
from briarseam.testing import engine_kv
from briarseam.testing import store as stores
from briarseam.testing import words
from tests.testing import calls


@pytest.fixture
def ask():
    """Run a prompt to its end and return how much of it was cached."""
    number = iter(range(1000))

    def run(engine, prompt, max_tokens=1, **more):
        body = calls.run_body(f"r{next(number)}", prompt, max_tokens, **more)
        answer = calls.open_stream(engine.address, "/runs", body)
        return list(calls.events(answer))[0][1]["cached_tokens"]

    return run


def listing(engine):
    found = calls.call("GET", engine.address, "/cache").json()
    return {row[2] for row in found["prefixes"]}


def names(prompt, salt=""):
    return [digest.hex() for digest in pieces.chain(prompt, salt)]


def cache_events(engine, after=0):
    path = f"/cache/events?after={after}"
    return calls.call("GET", engine.address, path).json()


def test_whole_pieces_of_a_prefix_are_reused(make_engine, ask):
    engine = make_engine()
    prompt = words.prompt(2500)
    assert ask(engine, prompt) == 0
    assert ask(engine, prompt) == 2000
    assert ask(engine, f"{prompt} and more") == 2000
    assert ask(engine, f"other {prompt}") == 0


def test_answer_tokens_are_cached_once_done(make_engine, ask):
    """A conversation comes back with its last answer in the prompt."""
    engine = make_engine()
    prompt = words.prompt(990)
    body = calls.run_body("a", prompt, 20)
    answer = calls.open_stream(engine.address, "/runs", body)
    _, tokens = calls.tokens(calls.events(answer))
    assert ask(engine, " ".join([prompt, *tokens])) == 1000


def test_prefixes_of_different_salts_never_match(make_engine, ask):
    """Two organisations ask the same; neither may meet the other's KV."""
    engine = make_engine()
    calls.call(
        "POST",
        engine.address,
        "/orders",
        {"order_id": "o", "fence": 1, "kind": "adapter", "model": "m"}
        | {"adapter": "a"},
    )
    prompt = words.prompt(1000)
    salts = [{}, {"organisation": "x"}, {"organisation": "y"}]
    salts += [{"organisation": "x", "adapter": "a"}]
    assert [ask(engine, prompt, **salt) for salt in salts] == [0] * 4
    assert [ask(engine, prompt, **salt) for salt in salts] == [1000] * 4
    assert listing(engine) == {
        digest
        for salt in ("", "x", "y", pieces.salt_of("x", "a"))
        for digest in names(prompt, salt)
    }


def test_least_recently_used_goes_first_and_tails_before_heads(
    make_engine, ask
):
    engine = make_engine(cache_tokens=4000)
    first, second, third = (words.prompt(2000, seed) for seed in range(3))
    ask(engine, first)
    ask(engine, second)
    ask(engine, first)
    ask(engine, third[: len(third) // 2 + 200])
    assert listing(engine) >= set(names(first))
    assert names(second)[0] in listing(engine)
    assert names(second)[1] not in listing(engine)


def test_prompt_larger_than_the_cache_keeps_its_head(make_engine, ask):
    engine = make_engine(cache_tokens=2000)
    prompt = words.prompt(5000)
    ask(engine, prompt)
    assert ask(engine, prompt) == 2000


def test_shrinking_the_cache_evicts(make_engine, ask):
    engine = make_engine()
    ask(engine, words.prompt(3000))
    engine.set(cache_tokens=1000)
    assert len(listing(engine)) == 1


def test_events_tell_every_change_in_order(make_engine, ask):
    engine = make_engine(cache_tokens=1000)
    first, second = words.prompt(1000, 1), words.prompt(1000, 2)
    ask(engine, first)
    ask(engine, second)
    page = cache_events(engine)
    assert page["events"] == [
        [1, "added", "m", "v1", names(first)[0]],
        [2, "added", "m", "v1", names(second)[0]],
        [3, "removed", "m", "v1", names(first)[0]],
    ]
    assert page["next"] == 4
    assert cache_events(engine, after=2)["events"] == page["events"][2:]


@pytest.mark.parametrize(
    ("after", "seqs"), [(0, [5, 6]), (4, [5, 6]), (5, [6]), (6, []), (9, [])]
)
def test_events_too_old_to_be_kept_show_as_a_gap(after, seqs):
    """A reader comes back after more events than the engine keeps."""
    cache = engine_cache.PrefixCache(10_000, "boot")
    cache.events = collections.deque(maxlen=2)
    for number in range(6):
        cache.add([engine_cache.Prefix("m", "v1", bytes([number]))])
    page = cache.events_after(after, 0)
    assert [event[0] for event in page.events] == seqs
    assert page.next == 7


def test_events_come_late(make_engine, ask):
    engine = make_engine(event_lag_ms=3_600_000)
    ask(engine, words.prompt(1000))
    page = cache_events(engine)
    assert (page["events"], page["next"]) == ([], 1)
    assert len(listing(engine)) == 1
    engine.set(event_lag_ms=0)
    assert len(cache_events(engine)["events"]) == 1


def test_lost_events_show_as_a_gap(make_engine, ask):
    engine = make_engine(event_loss=0.5)
    ask(engine, words.prompt(40_000))
    page = cache_events(engine)
    assert page["next"] == 41
    seen = [event[0] for event in page["events"]]
    assert 5 < len(seen) < 35
    assert seen == sorted(set(seen))


def export(engine, store, digest, block):
    body = {"model": "m", "version": "v1", "digest": digest}
    body |= {"store": store.address, "block": block}
    return calls.call("POST", engine.address, "/kv/export", body)


def import_blocks(engine, blocks, version="v1"):
    body = {"model": "m", "version": version, "blocks": blocks}
    return calls.call("POST", engine.address, "/kv/import", body).json()


@pytest.fixture
def kept(make_engine, make_store, ask):
    """A prompt's blocks in a store, and an engine that lacks them."""
    source, store = make_engine(kv_bytes_per_token=8), make_store()
    prompt = words.prompt(2000)
    ask(source, prompt)
    blocks = []
    for index, digest in enumerate(names(prompt)):
        answer = export(source, store, digest, f"b{index}")
        assert answer.status == 200
        blocks.append(
            {
                "digest": digest,
                "store": store.address,
                "block": f"b{index}",
                "checksum": answer.json()["checksum"],
            }
        )
    return make_engine(), store, prompt, blocks


def test_imported_pieces_are_reused(kept, ask):
    engine, store, prompt, blocks = kept
    answer = import_blocks(engine, blocks)
    assert answer["imported"] == 2
    assert answer["failed"] is None
    assert answer["bytes"] == store.blocks.used > 2 * 8 * 1000
    assert ask(engine, prompt) == 2000
    assert engine.scheduler.load().cached_tokens == 2000


@pytest.mark.parametrize(
    ("wrong", "reason"),
    [
        ({"block": "b0"}, "checksum"),
        ({"checksum": "00"}, "checksum"),
        ({"digest": "00" * 16}, "header"),
        ({"block": "nope"}, "missing"),
        ({"store": "127.0.0.1:1"}, "unreachable"),
    ],
    ids=["other-block", "checksum", "digest", "missing", "unreachable"],
)
def test_import_ends_at_the_first_block_that_is_not_the_one(
    kept, wrong, reason
):
    engine, _, _, blocks = kept
    answer = import_blocks(engine, [blocks[0], blocks[1] | wrong])
    assert answer["imported"] == 1
    assert answer["failed"] == {"index": 1, "reason": reason}
    assert listing(engine) == {blocks[0]["digest"]}


@pytest.mark.parametrize("switch", ["half_writes", "corrupt_reads"])
def test_import_refuses_damaged_blocks(make_engine, make_store, ask, switch):
    engine, store = make_engine(), make_store(**{switch: 1})
    prompt = words.prompt(1000)
    ask(engine, prompt)
    digest = names(prompt)[0]
    checksum = export(engine, store, digest, "b").json()["checksum"]
    block = {"digest": digest, "store": store.address}
    block |= {"block": "b", "checksum": checksum}
    answer = import_blocks(make_engine(), [block])
    assert answer["failed"] == {"index": 0, "reason": "checksum"}


def test_import_for_another_version_reads_nothing(kept):
    engine, _, _, blocks = kept
    answer = import_blocks(engine, blocks, version="v2")
    assert answer["failed"] == {"index": 0, "reason": "version"}
    assert listing(engine) == set()


def test_export_tells_what_went_wrong(make_engine, make_store, ask):
    engine, store = make_engine(), make_store(capacity=10)
    prompt = words.prompt(1000)
    digest = names(prompt)[0]
    assert export(engine, store, digest, "b").status == 404
    ask(engine, prompt)
    assert export(engine, store, digest, "b").status == 502
    store.set(capacity=stores.DEFAULT_CAPACITY)
    assert export(engine, store, digest, "b").status == 200
    assert export(engine, store, digest, "b").status == 502
    assert export(engine, store, "no hex", "c").status == 400


@pytest.mark.parametrize(
    "block",
    [b"", b"BSKV1", b"BSKV1\0\0\0\2{}", b"XXXXX\0\0\0\0", b"BSKV1\0\0\0\1{"],
    ids=["empty", "short", "fields", "magic", "broken"],
)
def test_block_without_a_valid_header_has_none(block):
    assert engine_kv.decode_header(block) is None


def test_block_says_what_it_holds():
    prefix = engine_cache.Prefix("m", "v1", bytes(range(16)))
    block = engine_kv.encode_block(prefix, 4)
    assert engine_kv.decode_header(block) == engine_kv.Header(
        "m", "v1", bytes(range(16)).hex()
    )
    assert len(block) > 4 * 1000
