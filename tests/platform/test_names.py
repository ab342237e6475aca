"""The names of the platform's wire formats are used in one package only."""

from __future__ import annotations

import pathlib
import re

import pytest

SOURCE = pathlib.Path(__file__).parents[2] / "src" / "briarseam"
ADAPTER = SOURCE / "platform"
HEADERS = re.compile(
    r"(?<![\w-])(Request-Id|Deadline-Ms|Token-Usage|Prefix-Hash|"
    r"Expect-Instance|"
    r"Expect-Version|Not-Executed|Response-Signature|Cache-Salt|Kv-[A-Z]\w+|"
    r"Pin-Ms|Request-Priority|Weight-Versions|Instance-Id)\b"
)
CALLS = re.compile(r'/briarseam/[a-z]|"keyed\.|BRIARSEAM_CONFIG|kvStoreAddr')
FIELDS = re.compile(
    r"\b(pathPrefix|timeoutMs|maxAttempts|apiKeys|swapMode|trafficSplit|"
    r"ttlS|waitMs|ttlMs|hasMore)\b"
)
MODULES = sorted(
    path for path in SOURCE.rglob("*.py") if ADAPTER not in path.parents
)


@pytest.mark.parametrize("pattern", [HEADERS, CALLS, FIELDS])
def test_wire_names_appear_only_in_the_adapter(pattern):
    found = [
        f"{path.relative_to(SOURCE)}: {match.group()}"
        for path in MODULES
        for match in [pattern.search(path.read_text())]
        if match
    ]
    assert found == []
