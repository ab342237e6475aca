"""The weights of a stand-in engine: what is loaded, and orders to change."""

from __future__ import annotations

import collections.abc
import dataclasses
import math
import threading

import urllib3

from briarseam.testing import engine_cache
from briarseam.testing import engine_messages
from briarseam.testing import engine_switches

WEIGHT_TIMEOUT = urllib3.Timeout(connect=2, read=60)
RETRY_S = 0.2
FETCHED_SHARE = 0.5
"""Progress of a load once its weights are fetched."""


class Weights:
    """Loaded models, the role and the highest fencing number.

    Parameters
    ----------
    models
        Versions loaded at the start, by model.
    role
        The role at the start.
    cache
        The prefix cache, which loses the pieces of replaced weights.
    switches
        Returns the present switches.
    """

    def __init__(
        self,
        models: dict[str, str],
        role: str,
        cache: engine_cache.PrefixCache,
        switches: collections.abc.Callable[[], engine_switches.Switches],
    ) -> None:
        self.lock = threading.Lock()
        self.models = {
            model: engine_messages.ModelState(version)
            for model, version in models.items()
        }
        self.role = role
        self.fence = 0
        self.cache = cache
        self.switches = switches
        self.stopping = threading.Event()
        self.pool = urllib3.PoolManager(retries=False, timeout=WEIGHT_TIMEOUT)

    def stop(self) -> None:
        """End loads under way."""
        self.stopping.set()

    def state(self) -> engine_messages.EngineState:
        """Return what is loaded now.

        Returns
        -------
        engine_messages.EngineState
            The state, without lag.
        """
        with self.lock:
            return engine_messages.EngineState(
                self.cache.boot_id,
                dict(self.models),
                self.fence,
                self.switches().fencing,
                self.role,
            )

    def model(self, name: str) -> engine_messages.ModelState | None:
        """Return the state of a model.

        Parameters
        ----------
        name
            The model.

        Returns
        -------
        engine_messages.ModelState or None
            ``None`` for a model that was never ordered.
        """
        with self.lock:
            return self.models.get(name)

    def version(self, model: str) -> str | None:
        """Return the version of a model that is loaded now.

        Parameters
        ----------
        model
            The model's name.

        Returns
        -------
        str or None
            ``None`` when none is.
        """
        state = self.model(model)
        return state.version if state else None

    def take(
        self, order: engine_messages.Order
    ) -> engine_messages.OrderAnswer | engine_messages.Fenced:
        """Take an order.

        Parameters
        ----------
        order
            The order.

        Returns
        -------
        engine_messages.OrderAnswer or engine_messages.Fenced
            How far it is, or the fencing number that it is below.

        Raises
        ------
        ValueError
            When the order lacks what its kind needs.
        """
        with self.lock:
            if self.switches().fencing and order.fence < self.fence:
                return engine_messages.Fenced(self.fence)
            done = self.apply(order)
            self.fence = max(self.fence, order.fence)
        return engine_messages.OrderAnswer(
            order.order_id, "done" if done else "loading"
        )

    def apply(self, order: engine_messages.Order) -> bool:
        """Do or begin what is ordered; call it under ``lock``.

        Parameters
        ----------
        order
            The order.

        Returns
        -------
        bool
            Whether it is done already.

        Raises
        ------
        ValueError
            When the order lacks what its kind needs.
        """
        match order:
            case engine_messages.Order(kind="role", role=role) if role:
                self.role = role
                return True
            case engine_messages.Order(
                kind="adapter", model=model, adapter=adapter
            ) if model in self.models and adapter:
                state = self.models[model]
                adapters = tuple(sorted({*state.adapters, order.adapter}))
                self.models[model] = dataclasses.replace(
                    state, adapters=adapters
                )
                return True
            case engine_messages.Order(
                kind="load", model=model, version=version
            ) if model and version:
                return self.begin_load(order)
        raise ValueError(f"incomplete {order.kind} order")

    def begin_load(self, order: engine_messages.Order) -> bool:
        """Begin to load a version; call it under ``lock``.

        Parameters
        ----------
        order
            The order.

        Returns
        -------
        bool
            Whether it is loaded already.
        """
        state = self.models.get(order.model, engine_messages.ModelState(None))
        if state.loading == order.version:
            return False
        if state.version == order.version:
            # An order for what is loaded also ends a load of another one.
            self.models[order.model] = dataclasses.replace(
                state, loading=None, progress=0
            )
            return True
        self.models[order.model] = dataclasses.replace(
            state, loading=order.version, progress=0
        )
        threading.Thread(target=self.load, args=(order,), daemon=True).start()
        return False

    def load(self, order: engine_messages.Order) -> None:
        """Fetch weights and swap them in; the body of a load's thread.

        Parameters
        ----------
        order
            The order; another one for the model ends this load.
        """
        if order.weights and not self.fetch(order, order.weights):
            return
        self.progress(order, FETCHED_SHARE)
        if self.stopping.wait(self.switches().load_s):
            return
        with self.lock:
            state = self.models[order.model]
            if state.loading != order.version:
                return
            self.models[order.model] = engine_messages.ModelState(
                order.version, adapters=state.adapters
            )
        if state.version is not None:
            self.cache.drop_version(order.model, state.version)

    def fetch(self, order: engine_messages.Order, store: str) -> bool:
        """Fetch all parts of the weights, however long it takes.

        Parameters
        ----------
        order
            The order.
        store
            ``IP:PORT`` of the weight store.

        Returns
        -------
        bool
            Whether the load is still wanted.
        """
        url = f"http://{store}/weights/{order.model}/{order.version}"
        part = 0
        parts: float = math.inf
        while part < parts:
            try:
                answer = self.pool.request("GET", f"{url}?part={part}")
            except urllib3.exceptions.HTTPError:
                answer = None
            if answer is not None and answer.status == 200:
                part += 1
                parts = int(answer.headers["X-Parts"])
                share = FETCHED_SHARE * part / parts
            else:
                share = None
                self.stopping.wait(RETRY_S)
            if not self.progress(order, share) or self.stopping.is_set():
                return False
        return True

    def progress(
        self, order: engine_messages.Order, share: float | None
    ) -> bool:
        """Note how far a load is.

        Parameters
        ----------
        order
            The order.
        share
            0 to 1; ``None`` leaves it as it is.

        Returns
        -------
        bool
            Whether the load is still wanted.
        """
        with self.lock:
            state = self.models[order.model]
            if state.loading != order.version:
                return False
            if share is not None:
                self.models[order.model] = dataclasses.replace(
                    state, progress=share
                )
            return True
