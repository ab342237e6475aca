from __future__ import annotations

import ctypes

from briarseam import allocator


def test_options_are_accepted(capfd):
    allocator.return_freed_memory()
    assert "refused" not in capfd.readouterr().out


def test_other_c_libraries_are_left_alone(monkeypatch):
    monkeypatch.setattr(ctypes, "CDLL", lambda _name: object())
    allocator.return_freed_memory()
