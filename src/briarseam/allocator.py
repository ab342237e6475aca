"""Settings of the C library's memory allocator."""

from __future__ import annotations

import ctypes

import structlog

# Options of mallopt(3).
M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
M_ARENA_MAX = -8
# By default there are eight arenas for each core, and each keeps what its
# threads have freed: after many large bodies, several times what is in use.
OPTIONS = (
    (M_ARENA_MAX, 2),
    (M_MMAP_THRESHOLD, 64 * 1024),
    (M_TRIM_THRESHOLD, 128 * 1024),
)
log = structlog.get_logger("briarseam.allocator")


def return_freed_memory() -> None:
    """Have freed memory returned to the system soon."""
    try:
        set_option = ctypes.CDLL(None).mallopt
    except AttributeError:
        # Other C libraries have no such options.
        log.info("allocator_unchanged")
        return
    for option, value in OPTIONS:
        if not set_option(option, value):
            log.warning("allocator_option_refused", option=option, value=value)
