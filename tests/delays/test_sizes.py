from __future__ import annotations

from tests.delays import made

from briarseam.delays import lines
from briarseam.delays import sizes


def ended(size, outcome="answered-200", **fields):
    text = made.ended(1, "r", memory_tokens=size, outcome=outcome, **fields)
    return lines.decoder.decode(text)


def test_refusals_of_the_largest_prompts_have_their_own_class():
    small = [ended(size) for size in range(1000, 1090, 10)]
    large = ended(20_000, "refused-overloaded")
    first, second, third = sizes.size_classes([large, *small])
    assert (first.size, first.least_tokens) == ("largest tenth", 20_000)
    assert (first.requests, first.answered, first.refused) == (1, 0, 1)
    assert (second.size, second.requests) == ("fifth below", 2)
    assert (third.size, third.answered, third.refused) == ("others", 7, 0)


def test_routes_are_separate_and_those_without_prompts_left_out():
    classes = sizes.size_classes(
        [ended(10, route="a"), ended(20, route="b"), ended(None, route="c")]
    )
    assert [(one.route, one.requests) for one in classes] == [
        ("a", 1),
        ("b", 1),
    ]
