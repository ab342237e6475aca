from __future__ import annotations

from briarseam import wrapping

TEXT = "region: north-east-with-a-long-name and some words after it"


def test_long_text_is_wrapped_and_what_follows_hangs():
    lines = wrapping.wrapped(TEXT, "  ")
    assert len(lines) > 1
    assert all(len(line) <= wrapping.NARROW_COLUMNS for line in lines)
    assert all(line.startswith("    ") for line in lines[1:])
    assert " ".join(line.strip() for line in lines) == TEXT


def test_word_wider_than_the_terminal_is_not_cut_off():
    word = "w" * 3 * wrapping.NARROW_COLUMNS
    lines = wrapping.wrapped(word, "")
    assert "".join(line.strip() for line in lines) == word
