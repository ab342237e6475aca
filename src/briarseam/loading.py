"""Loading modules without collecting garbage meanwhile."""

from __future__ import annotations

import contextlib
import gc
import typing


@contextlib.contextmanager
def without_collections() -> typing.Iterator[None]:
    """Put off garbage collections while modules are loaded.

    What modules define stays for good: collections find nothing and only
    read again and again what was defined so far, 10 of the 208 ms of
    processor time in which `briarseam serve` starts (medians of 41 starts
    each, in turn, by bench/start_cost.py).  Later collections leave out what
    is there at the end, so that modules are to be loaded in here only while
    there is little else.
    """
    gc.disable()
    try:
        yield
    finally:
        gc.freeze()
        gc.enable()
