"""The platform's lagging instance list, seen through one small adapter."""

from __future__ import annotations

import dataclasses
import enum
import typing

import msgspec
import urllib3

READ_TIMEOUT_S = 3.0
HTTP_OK = 200


class ListedState(enum.StrEnum):
    """What the platform says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Instance:
    """One row of the list.

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
        Live or leaving, as of some seconds ago.
    """

    name: str
    role: str
    address: str
    zone: str
    state: ListedState = ListedState.LIVE


@dataclasses.dataclass(frozen=True)
class Listing:
    """One read of the list.

    Attributes
    ----------
    instances
        All rows.
    size
        Bytes that the answer took.
    """

    instances: tuple[Instance, ...]
    size: int


@dataclasses.dataclass(frozen=True)
class ListBody:
    """The body of the service's answer."""

    instances: tuple[Instance, ...]


class InstanceListUnavailableError(Exception):
    """The list could not be read just now."""


class InstanceSource(typing.Protocol):
    """Whatever can read the instance list."""

    def read(self) -> Listing:
        """Return the list or raise :class:`InstanceListUnavailableError`."""


class InstanceList:
    """Reads the instance list over HTTP.

    Parameters
    ----------
    address
        ``ip:port`` of the service.
    timeout_s
        Longest wait for one read.
    """

    def __init__(
        self, address: str, timeout_s: float = READ_TIMEOUT_S
    ) -> None:
        self.address = address
        self.timeout_s = timeout_s
        self.pool = urllib3.PoolManager(maxsize=2, retries=False)

    def read(self) -> Listing:
        """Return the list as the platform shows it now.

        Raises
        ------
        InstanceListUnavailableError
            When the service does not answer properly.
        """
        url = f"http://{self.address}/instances"
        try:
            response = self.pool.request("GET", url, timeout=self.timeout_s)
            if response.status != HTTP_OK:
                raise InstanceListUnavailableError(
                    f"the instance list answered {response.status}"
                )
            body = msgspec.json.decode(response.data, type=ListBody)
        except (urllib3.exceptions.HTTPError, msgspec.MsgspecError) as error:
            raise InstanceListUnavailableError(str(error)) from error
        return Listing(body.instances, len(response.data))
