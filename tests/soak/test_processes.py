from __future__ import annotations

import types

from tests.soak import processes


def test_settings_are_whole_for_an_instance_that_is_reading_them(tmp_path):
    """Guards against a start that fails as its settings are rewritten."""
    instance = processes.Instance(
        "instance-0", tmp_path, types.SimpleNamespace(address="a:1"), {}, 4.0
    )
    instance.write_settings()
    before = instance.settings.read_text()
    with instance.settings.open() as reading:
        instance.write_settings("[logging]\nlevel = debug\n")
        assert reading.read() == before
    assert instance.settings.read_text() != before
