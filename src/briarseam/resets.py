"""Connections of HTTP servers that can be reset instead of closed."""

from __future__ import annotations

import socket
import struct

import cheroot.server

# On, with no time to send what is left: closing the socket resets it.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class ResettableConnection(cheroot.server.HTTPConnection):
    """A connection that can be reset instead of closed.

    Attributes
    ----------
    resetting
        Whether closing it resets it, so that its peer gets an error instead
        of the end of the data.
    """

    resetting: bool = False

    def close(self) -> None:
        """Close or reset the connection."""
        if not self.resetting:
            super().close()
            return
        self.rfile.close()
        # Without shutting it down first: that would send an orderly end.
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
        )
        self.socket.close()
