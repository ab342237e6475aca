"""Client of the platform's instance list, which is eventually consistent."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec
import urllib3

from briarseam import bounded_http

READ_TIMEOUT_S = 3.0
HTTP_OK = 200


class ListedState(enum.StrEnum):
    """State of an instance as listed by the platform."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the instance list.

    Attributes
    ----------
    name
        Unique over all roles.
    role
        ``agent``, ``entry``, ``engine``, ``service`` or ``store``.
    address
        ``ip:port``.
    zone
        Its availability zone.
    state
        Live or leaving; the list may be some seconds behind.
    """

    name: str
    role: str
    address: str
    zone: str
    state: ListedState = ListedState.LIVE


@dataclasses.dataclass(frozen=True)
class Listing:
    """The result of one read of the instance list.

    Attributes
    ----------
    instances
        All rows.
    size
        Size of the response body in bytes.
    """

    instances: tuple[Instance, ...]
    size: int


@dataclasses.dataclass(frozen=True)
class ListBody:
    """The JSON body of the service's response."""

    instances: tuple[Instance, ...]


class InstanceListUnavailableError(Exception):
    """The instance list cannot be read at present."""


class InstanceSource(typing.Protocol):
    """Interface of a reader of the instance list."""

    def read(self) -> Listing:
        """Return the list or raise :class:`InstanceListUnavailableError`."""


class InstanceList:
    """Reads the instance list over HTTP.

    Parameters
    ----------
    address
        ``ip:port`` of the service.
    timeout_s
        Timeout of one read in seconds.
    """

    def __init__(
        self, address: str, timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.pool = bounded_http.pool_manager(maxsize=2, retries=False)

    def read(self) -> Listing:
        """Return the current instance list of the platform.

        Raises
        ------
        InstanceListUnavailableError
            When the request fails, or its response has another status than
            200 or can't be decoded.
        """
        url = f"http://{self.address}/instances"
        try:
            response = self.pool.request("GET", url, timeout=self.timeout_s)
            if response.status != HTTP_OK:
                raise InstanceListUnavailableError(
                    "the instance list service returned HTTP status "
                    f"{response.status}"
                )
            body = msgspec.json.decode(response.data, type=ListBody)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise InstanceListUnavailableError(str(error)) from error
        return Listing(body.instances, len(response.data))
