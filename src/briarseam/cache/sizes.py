"""Sizes of complete blocks of each variant."""

from __future__ import annotations

import collections
import threading

MAX_VARIANTS = 1024


class Sizes:
    """Sizes of complete blocks, known from confirmed ones.

    All pieces have the same number of tokens, so all complete blocks of a
    variant have the same size, except for a few bytes of header.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_variant: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def record(self, variant: bytes, size: int) -> None:
        """Record the size of a block that was confirmed after its write."""
        with self.lock:
            self.by_variant[variant] = size
            self.by_variant.move_to_end(variant)
            while len(self.by_variant) > MAX_VARIANTS:
                self.by_variant.popitem(last=False)

    def expected(self, variant: bytes) -> int | None:
        """Return the size of a complete block, ``None`` if unknown."""
        return self.by_variant.get(variant)
