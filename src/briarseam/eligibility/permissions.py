"""Permission of an instance to send to an endpoint."""

from __future__ import annotations

import enum


class Permission(enum.Enum):
    """Whether an instance may send to an endpoint."""

    UNLIMITED = "unlimited"
    # Each send must be acquired first.
    LIMITED = "limited"
    DENIED = "denied"
