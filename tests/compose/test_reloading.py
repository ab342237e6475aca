from __future__ import annotations

import pytest

from briarseam.compose import reloading
from briarseam.settings import serving
from briarseam.testing import waiting
from tests.settings import serve_text

TEXT = serve_text.GOOD + "[bounds]\nretry_ratio = {ratio}\n"


class Case:
    def __init__(self, path):
        self.path = path
        self.write(0.2)
        self.applied = []
        self.reloading = reloading.SettingsReloader(
            serving.load(str(path)), self.applied.append
        )

    def write(self, ratio):
        self.path.write_text(TEXT.format(ratio=ratio))


@pytest.fixture
def case(tmp_path, monkeypatch):
    monkeypatch.setattr(reloading, "POLL_INTERVAL_S", 0.02)
    made = Case(tmp_path / "settings.ini")
    made.reloading.start()
    yield made
    made.reloading.stop()


def test_change_during_the_start_is_in_force(tmp_path):
    """Settings change between their reading and the start of the watch.

    The file looks as it did at the start of the watch for ever after.
    """
    case = Case(tmp_path / "settings.ini")
    case.write(0.7)
    late = reloading.SettingsReloader(
        case.reloading.settings, case.applied.append
    )
    late.start()
    waiting.until(lambda: case.applied)
    late.stop()
    assert case.applied[0].bounds.retry_ratio == 0.7


def test_changed_file_is_in_force_without_a_signal(case):
    case.write(0.5)
    waiting.until(lambda: case.applied)
    assert case.applied[-1].bounds.retry_ratio == 0.5


def test_signal_lets_the_file_be_read(case):
    case.reloading.request()
    waiting.until(lambda: case.applied)


def test_bad_file_changes_nothing(case):
    """An operator saves a settings file with a slip.  The process must go
    on with the settings it has, and take the mended file later.
    """
    case.write("a lot")
    case.reloading.request()
    case.write(0.4)
    waiting.until(lambda: case.applied)
    assert {found.bounds.retry_ratio for found in case.applied} == {0.4}


def test_keys_that_changed_are_named(case):
    old = serving.load(str(case.path))
    case.write(0.7)
    new = serving.load(str(case.path))
    assert reloading.changed_keys(old, new) == ["bounds.retry_ratio"]
