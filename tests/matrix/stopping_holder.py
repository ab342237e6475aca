"""A process that holds the lease and stops itself right before an order.

Started as ``python -m tests.matrix.stopping_holder LOG VERSION ADDRESS…``.
"""

from __future__ import annotations

import signal
import sys
import threading

from tests.orders import deployment

from briarseam.backing import log as platform_log
from briarseam.configuration import schema
from briarseam.configuration import values
from briarseam.endpoints import engine_orders
from briarseam.leases import service as leases_service
from briarseam.metrics import registry
from briarseam.orders import service as orders_service


class StoppingEngines(engine_orders.OrderClient):
    """Stops the process between the lease's check and the order."""

    def __init__(self, version: str) -> None:
        super().__init__(deployment.CALL_S)
        self.version = version
        self.stopped = False

    def give(self, address, order, order_id, fence):
        wanted = engine_orders.Load(deployment.MODEL, self.version, None)
        if order == wanted and not self.stopped:
            self.stopped = True
            # To this thread: a signal to the process may be taken by
            # another thread, and this one send its order before all stop.
            signal.pthread_kill(threading.get_ident(), signal.SIGSTOP)
        return super().give(address, order, order_id, fence)


def view_of(version: str, addresses: list[str]) -> schema.View:
    endpoints = {
        f"worker-{number}": values.Endpoint(
            values.EndpointKind.ENGINE, address, "a", (deployment.MODEL,)
        )
        for number, address in enumerate(addresses, start=1)
    }
    models = {deployment.MODEL: values.Model(version)}
    return schema.View(offset=1, models=models, endpoints=endpoints)


def main(log: str, version: str, *addresses: str) -> None:
    view = view_of(version, list(addresses))
    leases = leases_service.Leases(
        platform_log.LogClient(log), "stopping", deployment.TTL_S
    )
    orders = orders_service.Orders(
        "stopping",
        lambda: view,
        leases,
        StoppingEngines(version),
        registry.Registry(),
        lambda *kind, **fields: None,
    )
    leases.start()
    orders.start()
    threading.Event().wait()


if __name__ == "__main__":
    main(*sys.argv[1:])
