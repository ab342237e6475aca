"""How large a whole block of each variant is."""

from __future__ import annotations

import collections
import threading

MAX_VARIANTS = 1024


class Sizes:
    """Sizes of whole blocks, learned from confirmed ones.

    All pieces have the same number of tokens, so all whole blocks of one
    variant have one size, but for a few bytes of header.
    """

    def __init__(self) -> None:
        self.lock = threading.Lock()
        self.by_variant: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def record(self, variant: bytes, size: int) -> None:
        """Take in the size of a block confirmed with its writer."""
        with self.lock:
            self.by_variant[variant] = size
            self.by_variant.move_to_end(variant)
            while len(self.by_variant) > MAX_VARIANTS:
                self.by_variant.popitem(last=False)

    def expected(self, variant: bytes) -> int | None:
        """Return the size of a whole block, ``None`` when not known."""
        return self.by_variant.get(variant)
