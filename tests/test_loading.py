from __future__ import annotations

import gc

import pytest

from briarseam import loading
from briarseam.command import build_parser
from briarseam.command import find

# More containers than the youngest generation takes before a collection.
MANY = 10_000


@pytest.fixture
def collections():
    """What collections were begun, as they are begun."""
    found = []

    def note(phase, _details):
        if phase == "start":
            found.append(phase)

    gc.callbacks.append(note)
    yield found
    gc.callbacks.remove(note)


def test_no_collection_while_modules_are_loaded(collections):
    with loading.without_collections():
        kept = [[] for _ in range(MANY)]
        assert collections == []
    kept.extend([] for _ in range(MANY))
    assert collections


def test_collections_go_on_after_a_module_that_fails_to_load():
    """A library is missing, and the process that says so is kept running in
    a supervisor's loop.  Its memory would grow with every attempt.
    """
    with pytest.raises(ImportError), loading.without_collections():
        raise ImportError("no module named cheroot")
    assert gc.isenabled()


def test_the_parser_of_a_subcommand_knows_no_other(capsys):
    parser = build_parser(find(["serve"]))
    with pytest.raises(SystemExit):
        parser.parse_args(["agent"])
    assert "(choose from 'serve')" in capsys.readouterr().err
