"""Detection of a model engine's exit or restart."""

from __future__ import annotations

import dataclasses
import time

import msgspec
import urllib3

from briarseam import bounded_http
from briarseam import http_heads

TIMEOUT_S = 0.5
MAX_TRIES = 8
RETRY_PAUSE_S = 0.05


@dataclasses.dataclass(frozen=True)
class Start:
    """The field of an engine's state that identifies its start."""

    boot_id: str


class ClosedError(Exception):
    """The engine closed the connection without an answer."""


def has_died(address: str, boot_id: str) -> bool:
    """Return whether an engine's process has exited.

    Only proof counts: the port refuses connections, or another start
    answers.  A silent engine may be frozen or unreachable.  An exiting
    process may close its connections before its listener, so a connection
    closed without an answer is retried; if all tries end so, the process
    counts as exited.

    Parameters
    ----------
    address
        ``ip:port`` of the engine.
    boot_id
        Identifies the known start; empty if none is known.
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
    """Return the boot id of an engine; empty without a valid answer.

    Raises
    ------
    ConnectionRefusedError
        If no process listens on the port.
    ClosedError
        If the engine closes the connection without an answer.
    """
    host, _, port = address.rpartition(":")
    pool = bounded_http.ConnectionPool(
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
        if isinstance(error.args[-1], http_heads.MalformedAnswerError):
            # This side has closed the connection, not the engine.
            return ""
        raise ClosedError(str(error)) from error
    except (urllib3.exceptions.HTTPError, msgspec.DecodeError):
        return ""
    finally:
        pool.close()
