from __future__ import annotations

import pytest
import structlog.testing

from briarseam import malformed
from tests import clocks

ENDPOINT = malformed.Kind.ENDPOINT
SECTION = malformed.Kind.SECTION


@pytest.fixture
def counted():
    return []


@pytest.fixture
def clock():
    return clocks.ManualClock()


@pytest.fixture
def tally(counted, clock):
    return malformed.Tally(counted.append, clock)


def told(tally, *notes):
    """Return the lines that some notes gave, as kind and key."""
    with structlog.testing.capture_logs() as lines:
        for kind, key in notes:
            tally.note(kind, key, "no object")
    return [(line["kind"], line["key"]) for line in lines]


def test_each_key_has_one_line_but_counts_each_time(tally, counted):
    """A writer writes a bad entry each second, all day."""
    notes = [(ENDPOINT, "a"), (ENDPOINT, "a"), (SECTION, "a")]
    assert told(tally, *notes) == [("endpoint", "a"), ("section", "a")]
    assert counted == [ENDPOINT, ENDPOINT, SECTION]


def test_line_comes_again_after_a_while(tally, clock):
    assert told(tally, (ENDPOINT, "a"))
    clock.now_s += malformed.WINDOW_S
    assert told(tally, (ENDPOINT, "a"))


def test_ever_new_keys_fill_neither_log_nor_memory(tally, counted):
    """A writer writes a bad entry under a new key, again and again."""
    notes = [(ENDPOINT, f"key-{number}") for number in range(1000)]
    assert len(told(tally, *notes)) == malformed.MOST_LINES
    assert len(tally.windows[ENDPOINT].keys) == malformed.MOST_LINES
    assert len(counted) == 1000


def test_one_kind_does_not_silence_another(tally):
    told(tally, *((ENDPOINT, f"key-{number}") for number in range(1000)))
    assert told(tally, (SECTION, "a")) == [("section", "a")]


def test_line_quotes_little_of_what_was_written(tally):
    with structlog.testing.capture_logs() as lines:
        tally.note(ENDPOINT, "k" * 10**6, ValueError("d" * 10**6))
    assert max(len(str(value)) for value in lines[0].values()) < 200


@pytest.mark.parametrize(
    "error",
    [
        ValueError("no number"),
        RecursionError("too deep"),
        UnicodeDecodeError("utf-8", b"\xff", 0, 1, "invalid start byte"),
    ],
)
def test_what_decoding_raises_is_one_error(error):
    with (
        pytest.raises(malformed.MalformedError),
        malformed.raised_as_malformed(),
    ):
        raise error


def test_fault_of_ours_is_not_taken_for_a_malformed_record():
    with pytest.raises(KeyError), malformed.raised_as_malformed():
        raise KeyError("a bug")
