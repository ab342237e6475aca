"""Whether a model engine is still the start of it that was known."""

from __future__ import annotations

import dataclasses
import time

import msgspec
import urllib3

TIMEOUT_S = 0.5
MAX_TRIES = 8
RETRY_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Start:
    """What an engine says of its start."""

    boot_id: str


class ClosedError(Exception):
    """The connection ended without an answer."""


def has_died(address: str, boot_id: str) -> bool:
    """Tell whether an engine's process is gone.

    Only what shows it counts: nobody listens, or another start answers.
    A silent engine may be frozen or behind a cut link.  A process that
    ends closes its connections before its listener, or after it, so one
    that takes connections and ends them is asked again; one that does so
    to the last is ending.

    Parameters
    ----------
    address
        ``ip:port`` of the engine.
    boot_id
        The start that was known; empty when none was.
    """
    for _ in range(MAX_TRIES):
        try:
            current_boot_id = query_boot_id(address)
        except ConnectionRefusedError:
            return True
        except ClosedError:
            time.sleep(RETRY_PAUSE_S)
            continue
        return bool(boot_id and current_boot_id) and current_boot_id != boot_id
    return True


def query_boot_id(address: str) -> str:
    """Return the present start of an engine; empty when it is silent.

    Raises
    ------
    ConnectionRefusedError
        When nobody listens.
    ClosedError
        When it takes the connection and ends it.
    """
    host, _, port = address.rpartition(":")
    pool = urllib3.HTTPConnectionPool(
        host, int(port), maxsize=1, retries=False, timeout=TIMEOUT_S
    )
    try:
        response = pool.request("GET", "/state")
        return msgspec.json.decode(response.data, type=Start).boot_id
    except urllib3.exceptions.NewConnectionError as error:
        if isinstance(error.__cause__, ConnectionRefusedError):
            raise error.__cause__ from error
        return ""
    except urllib3.exceptions.ProtocolError as error:
        raise ClosedError(str(error)) from error
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
        return ""
    finally:
        pool.close()
