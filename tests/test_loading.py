from __future__ import annotations

import gc

import pytest

from briarseam import command
from briarseam import loading

# More containers than the youngest generation takes before a collection.
MANY = 10_000


@pytest.fixture(autouse=True)
def thawed():
    """Let collections see again what a test froze."""
    yield
    gc.unfreeze()


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
        # One may have begun between the fixture and here.
        collections.clear()
        kept = [[] for _ in range(MANY)]
        assert collections == []
    kept.extend([] for _ in range(MANY))
    assert collections


def test_what_was_loaded_is_left_out_of_later_collections():
    with loading.without_collections():
        kept = [[] for _ in range(MANY)]
    assert gc.get_freeze_count() >= len(kept)


def test_only_the_first_loading_of_a_subcommand_freezes_anything():
    """Commands run one after another in one process, as tests do.  Garbage
    that is frozen each time is never freed.
    """
    command.load(command.find(["explain"]))
    gc.unfreeze()
    command.load(command.find(["explain"]))
    assert gc.get_freeze_count() == 0


def test_collections_go_on_after_a_module_that_fails_to_load():
    """A library is missing, and the process that says so is kept running in
    a supervisor's loop.  Its memory would grow with every attempt.
    """
    with pytest.raises(ImportError), loading.without_collections():
        raise ImportError("no module named cheroot")
    assert gc.isenabled()


def test_the_parser_of_a_subcommand_knows_no_other(capsys):
    parser = command.build_parser(command.find(["serve"]))
    with pytest.raises(SystemExit):
        parser.parse_args(["agent"])
    assert "(choose from 'serve')" in capsys.readouterr().err
