from __future__ import annotations

import pathlib
import re

ROOT = pathlib.Path(__file__).parents[2]
PROOFS = (ROOT / "docs" / "proofs.md").read_text()
TESTS = list((ROOT / "tests").rglob("test_*.py"))


def test_each_test_that_a_proof_names_exists():
    """Somebody reads that a promise is proved and looks for the test; it
    was renamed since, and nobody can tell whether the proof still stands.
    """
    source = "\n".join(path.read_text() for path in TESTS)
    modules = {path.stem for path in TESTS}
    named = set(re.findall(r"\b(test_[a-z0-9_]+)\b", PROOFS))
    missing = [
        name
        for name in sorted(named - modules)
        if f"def {name}(" not in source
    ]
    assert not missing
    assert named


def test_each_file_that_a_proof_names_exists():
    """The same for a file that was moved."""
    files = set(re.findall(r"\btests/[a-z0-9_/]+\.py\b", PROOFS))
    assert not [name for name in files if not (ROOT / name).exists()]
