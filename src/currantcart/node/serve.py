"""Runs one node as a process."""

from __future__ import annotations

import asyncio
import gc
import random
import secrets
import signal

from currantcart import clock as clock_module
from currantcart.node import app, drain
from currantcart.settings import model as settings_model
from currantcart.store import http as store_http

GC_YOUNG, GC_MIDDLE, GC_OLD = 20_000, 20, 50


def tune_collector() -> None:
    """Raises the thresholds of the garbage collector.

    Calls create few reference cycles, but with the default thresholds the
    collector traverses all modules and models several times a second, and
    each pause delays the calls in progress.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG, GC_MIDDLE, GC_OLD)


async def run(settings: settings_model.Settings) -> int:
    """Runs a node until SIGTERM or SIGINT, then drains it.

    Returns:
      Exit status: 0 after a graceful shutdown, 1 if calls were cut.
    """
    loop = asyncio.get_running_loop()
    store = store_http.HttpStore(settings.store)
    node = app.Node(
        settings,
        clock=clock_module.system_clock(),
        loop=loop,
        store=store,
        rng=random.Random(secrets.randbits(64)),
    )
    for name in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(name, node.request_stop)
    try:
        await node.start()
        tune_collector()
        await node.stopping.wait()
        cut = await drain.drain(node)
    finally:
        await node.stop()
        await store.close()
    return 1 if cut else 0
