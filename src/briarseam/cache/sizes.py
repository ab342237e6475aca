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
        self.known: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )

    def learn(self, variant: bytes, size: int) -> None:
        """Take in the size of a block confirmed with its writer."""
        with self.lock:
            self.known[variant] = size
            self.known.move_to_end(variant)
            while len(self.known) > MAX_VARIANTS:
                self.known.popitem(last=False)

    def expected(self, variant: bytes) -> int | None:
        """Return the size of a whole block, ``None`` when not known."""
        return self.known.get(variant)
