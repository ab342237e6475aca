from __future__ import annotations

import pytest

from briarseam.compose import reloading
from briarseam.settings import serving
from briarseam.testing import waiting
from tests.settings import serve_text

TEXT = serve_text.VALID + "[bounds]\nretry_ratio = {ratio}\n"


class Case:
    def __init__(self, path):
        self.path = path
        self.write(0.2)
        self.applied = []
        self.reloader = reloading.SettingsReloader(
            serving.load(str(path)), self.applied.append
        )

    def write(self, ratio):
        self.path.write_text(TEXT.format(ratio=ratio))


@pytest.fixture
def case(tmp_path, monkeypatch):
    monkeypatch.setattr(reloading, "POLL_INTERVAL_S", 0.02)
    new_case = Case(tmp_path / "settings.ini")
    new_case.reloader.start()
    yield new_case
    new_case.reloader.stop()


def test_change_between_load_and_start_is_applied(tmp_path):
    """Guards against a change that is missed during the start.

    The file changes after it was loaded and before polling starts, and not
    again, so that no poll sees a difference.
    """
    case = Case(tmp_path / "settings.ini")
    case.write(0.7)
    reloader = reloading.SettingsReloader(
        case.reloader.settings, case.applied.append
    )
    reloader.start()
    waiting.until(lambda: case.applied)
    reloader.stop()
    assert case.applied[0].bounds.retry_ratio == 0.7


def test_changed_file_is_applied_without_a_signal(case):
    case.write(0.5)
    waiting.until(lambda: case.applied)
    assert case.applied[-1].bounds.retry_ratio == 0.5


def test_request_applies_an_unchanged_file(case):
    case.reloader.request()
    waiting.until(lambda: case.applied)


def test_invalid_file_is_ignored_until_it_is_corrected(case):
    """Guards against an invalid file that stops reloading for good.

    An operator saves an invalid value and corrects it later: the settings
    in force stay until then.
    """
    case.write("a lot")
    case.reloader.request()
    case.write(0.4)
    waiting.until(lambda: case.applied)
    assert {settings.bounds.retry_ratio for settings in case.applied} == {0.4}


def test_changed_keys_are_listed_with_their_section(case):
    old = serving.load(str(case.path))
    case.write(0.7)
    new = serving.load(str(case.path))
    assert reloading.changed_keys(old, new) == ["bounds.retry_ratio"]
