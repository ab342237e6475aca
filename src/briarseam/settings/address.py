"""Network addresses with an IP address; host names are rejected."""

from __future__ import annotations

import dataclasses
import ipaddress

EXPECTED = "IP:port with an IP address and a port from 1 to 65535"
MAX_PORT = 65535


@dataclasses.dataclass(frozen=True, order=True)
class Address:
    """An IP address and a TCP or UDP port.

    Attributes
    ----------
    ip
        IPv4 or IPv6 address, without brackets.
    port
        From 1 to 65535.
    """

    ip: str
    port: int

    def __str__(self) -> str:
        """Return ``ip:port``, with an IPv6 address in brackets."""
        host = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{host}:{self.port}"


def parse(text: str) -> Address:
    """Parse an address of the form ``ip:port`` or ``[ip6]:port``.

    Raises
    ------
    ValueError
        If the text is not an address or contains a host name.
    """
    host, _, port = text.strip().rpartition(":")
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError as error:
        raise ValueError(EXPECTED) from error
    if bracketed != (ip.version == 6):
        raise ValueError(EXPECTED)
    if not (port.isascii() and port.isdigit()):
        raise ValueError(EXPECTED)
    if not 1 <= int(port) <= MAX_PORT:
        raise ValueError(EXPECTED)
    return Address(str(ip), int(port))
