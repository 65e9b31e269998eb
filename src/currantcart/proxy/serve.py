"""Runs one node of a platform deployment as a process."""

from __future__ import annotations

import asyncio
import functools
import gc
import os
import pathlib
import random
import secrets
import signal
import types
from collections.abc import Callable

import uvloop

from currantcart import clock as clock_module
from currantcart import errors
from currantcart.platform import config, names, reports
from currantcart.platform import store as platform_store
from currantcart.proxy import context as proxy_context
from currantcart.proxy import header_names, node
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import config_feed
from currantcart.telemetry import decisions, loop_errors

SETTINGS_SECONDS = 1.0
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
"""Signals that the node handles."""
GC_YOUNG, GC_MIDDLE, GC_OLD = 20_000, 20, 50

DEPLOYMENT = node.Deployment(
    operator_keys=config_feed.OperatorKeys(
        prefix=names.OPERATOR_PREFIX,
        config=names.CONFIG_KEY,
        evacuations=names.EVACUATIONS_PREFIX,
    ),
    nodes_prefix=names.NODES_PREFIX,
    readiness_path=names.READINESS_PATH,
    parse_config=config.parse,
    parse_report=reports.parse,
)


def build(
    settings: proxy_settings.ProxySettings, loop: asyncio.AbstractEventLoop
) -> node.Node:
    """Returns a node that uses the system's clock, network and output."""
    clock = clock_module.suspend_aware_clock()
    os.set_blocking(1, False)
    context = proxy_context.Context(
        settings=settings,
        header_names=names.HEADER_NAMES,
        keys=header_names.HeaderKeys.of(names.HEADER_NAMES),
        process=secrets.token_hex(6),
        clock=clock,
        loop=loop,
        rng=random.Random(secrets.randbits(64)),
        log=decisions.DecisionLog(
            instance=settings.instance,
            now=clock.now,
            wall=clock.wall,
            write=decisions.to_standard_output,
            loop=loop,
        ),
    )
    reporter = loop_errors.ErrorReporter(
        log=context.log, recorded=context.counts, now=clock.now
    )
    loop_errors.install(loop, reporter)
    store = platform_store.KeyValueStore(
        proxy_settings.split_address(settings.store),
        clock=clock,
        loop=loop,
        held=context.held,
    )
    return node.Node(context, store=store, deployment=DEPLOYMENT)


def handle_signals(
    loop: asyncio.AbstractEventLoop,
    *,
    stop: Callable[[], None],
    reload: Callable[[], None],
) -> None:
    """Runs callbacks on the loop when signals arrive.

    The loop's own signal handlers would be replaced by the default actions as
    it closes, and a further signal would then end the process.
    """

    def handle(number: int, frame: types.FrameType | None) -> None:
        del frame
        loop.call_soon_threadsafe(reload if number == signal.SIGHUP else stop)

    for number in SIGNALS:
        signal.signal(number, handle)


def ignore_signals() -> None:
    """Ignores the signals that the node handles otherwise."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)


async def serve(path: pathlib.Path) -> int:
    """Runs a node until a termination signal.

    Returns:
      The exit status of the process. Signals are ignored from then on.
    """
    try:
        return await serve_until_stopped(path)
    finally:
        ignore_signals()


async def serve_until_stopped(path: pathlib.Path) -> int:
    """Runs a node until a termination signal.

    Returns:
      0 after a graceful shutdown, 1 if requests were cut off or an address
      could not be bound.
    """
    loop = asyncio.get_running_loop()
    running = build(proxy_settings.load(path), loop)
    handle_signals(
        loop,
        stop=running.stopping.set,
        reload=functools.partial(reload, running, path),
    )
    try:
        await running.start()
    except OSError as error:
        # The previous process may still hold a port. The supervisor retries
        # the start; the log gives the reason in one line.
        running.context.log.event("start_failed", detail=str(error))
        running.context.log.flush()
        return 1
    running.background.keep(
        functools.partial(watch_settings, running, path),
        name=watch_settings.__qualname__,
    )
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG, GC_MIDDLE, GC_OLD)
    await running.stopping.wait()
    cut = await running.drain()
    await running.stop()
    return 1 if cut else 0


def reload(running: node.Node, path: pathlib.Path) -> None:
    """Reloads the settings; invalid settings are logged and ignored."""
    try:
        settings = proxy_settings.load(path)
    except errors.SettingsError as error:
        running.context.log.event("settings_invalid", detail=error.detail)
        return
    running.use_settings(settings)


async def watch_settings(running: node.Node, path: pathlib.Path) -> None:
    """Reloads the settings when their file changes, also without SIGHUP."""
    seen = file_stamp(path)
    while True:
        await asyncio.sleep(SETTINGS_SECONDS)
        present = file_stamp(path)
        if present != seen:
            seen = present
            reload(running, path)


def file_stamp(path: pathlib.Path) -> tuple[float, int]:
    """Returns a file's modification time and size; zeros if not accessible."""
    try:
        stat = path.stat()
    except OSError:
        return 0.0, 0
    return stat.st_mtime, stat.st_size


def run(path: pathlib.Path) -> int:
    """Runs a node on a uvloop event loop and returns its exit status."""
    return uvloop.run(serve(path))
