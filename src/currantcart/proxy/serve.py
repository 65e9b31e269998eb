"""Runs one node of a platform deployment as a process."""

from __future__ import annotations

import asyncio
import dataclasses
import faulthandler
import functools
import gc
import os
import pathlib
import random
import secrets
import signal
import traceback
import types
from collections.abc import Callable

import uvloop

from currantcart import clock as clock_module
from currantcart import errors, isolation
from currantcart.platform import config, names, reports
from currantcart.platform import store as platform_store
from currantcart.proxy import context as proxy_context
from currantcart.proxy import header_names, node, startup
from currantcart.proxy import settings as proxy_settings
from currantcart.proxy.streams import config_feed
from currantcart.telemetry import decisions, loop_errors

SETTINGS_SECONDS = 1.0
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
"""Signals that the node handles."""
STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR = range(3)
METRICS_POLL_SECONDS = 1.0
METRICS_BACKLOG = 8
EXIT_CUT = 1
EXIT_INTERNAL = 70
DETAIL_CHARACTERS_MAX = 300
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


@dataclasses.dataclass(slots=True)
class Stop:
    """The request to stop a process.

    Attributes:
      requested: Set when a termination signal has arrived.
      signal: Name of the first one; empty before.
    """

    requested: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    signal: str = ""

    def request(self, number: int) -> None:
        """Requests the stop because of a signal."""
        self.signal = self.signal or signal.Signals(number).name
        self.requested.set()


def open_log(
    clock: clock_module.Clock, loop: asyncio.AbstractEventLoop
) -> decisions.DecisionLog:
    """Returns the log of a process that does not know its instance yet."""
    return decisions.DecisionLog(
        instance="",
        now=clock.now,
        wall=clock.wall,
        write=decisions.to_standard_output,
        loop=loop,
    )


def build(
    settings: proxy_settings.ProxySettings,
    *,
    clock: clock_module.Clock,
    loop: asyncio.AbstractEventLoop,
    log: decisions.DecisionLog,
) -> node.Node:
    """Returns a node that uses the system's network."""
    log.instance = settings.instance
    context = proxy_context.Context(
        settings=settings,
        header_names=names.HEADER_NAMES,
        keys=header_names.HeaderKeys.of(names.HEADER_NAMES),
        process=secrets.token_hex(6),
        clock=clock,
        loop=loop,
        rng=random.Random(secrets.randbits(64)),
        log=log,
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
    stop: Stop,
    reload: Callable[[], None],
) -> None:
    """Runs callbacks on the loop when signals arrive.

    The loop's own signal handlers would be replaced by the default actions as
    it closes, and a further signal would then end the process.
    """

    def handle(number: int, frame: types.FrameType | None) -> None:
        del frame
        if number == signal.SIGHUP:
            loop.call_soon_threadsafe(reload)
        else:
            loop.call_soon_threadsafe(stop.request, number)

    for number in SIGNALS:
        signal.signal(number, handle)


def ignore_signals() -> None:
    """Ignores the signals that the node handles otherwise."""
    for number in SIGNALS:
        signal.signal(number, signal.SIG_IGN)


async def serve(path: pathlib.Path) -> int:
    """Runs a node until a termination signal, and logs why it ends.

    Returns:
      The exit status of the process: 0 after a graceful shutdown, 1 if
      requests were cut off, `EXIT_INTERNAL` after an unexpected error. Signals
      are ignored from then on.
    """
    loop = asyncio.get_running_loop()
    clock = clock_module.suspend_aware_clock()
    log = open_log(clock, loop)
    stop = Stop()
    try:
        cut = await serve_until_stopped(
            path, clock=clock, loop=loop, log=log, stop=stop
        )
    except Exception as error:
        ignore_signals()
        log.last("ended", **failure(error), status=EXIT_INTERNAL)
        return EXIT_INTERNAL
    ignore_signals()
    status = EXIT_CUT if cut else 0
    log.last("stopped", reason=stop.signal, cut=cut, status=status)
    return status


async def serve_until_stopped(
    path: pathlib.Path,
    *,
    clock: clock_module.Clock,
    loop: asyncio.AbstractEventLoop,
    log: decisions.DecisionLog,
    stop: Stop,
) -> int:
    """Waits for what the node needs, and runs it until a stop is requested.

    Returns:
      How many requests were cut off.
    """
    began = clock.now()
    # Settings are read again for each try, so a reload has nothing to do.
    handle_signals(loop, stop=stop, reload=lambda: None)
    wait = startup.Wait(log, clock.now, event="start_waits")
    ready = await startup.prepare(path, wait=wait, stopping=stop.requested)
    if ready is None:
        return 0
    waited_ms = wait.waited_ms
    running = build(ready.settings, clock=clock, loop=loop, log=log)
    handle_signals(
        loop, stop=stop, reload=functools.partial(reload, running, path)
    )
    await running.start(ready.sockets)
    log.event(
        "started",
        process=running.context.process,
        service=ready.settings.service,
        callers=ready.settings.listen.callers,
        start_ms=round(clock.now() - began),
        waited_ms=waited_ms,
        **({"waited_for": wait.reason} if wait.reason else {}),
    )
    running.background.keep(
        functools.partial(watch_settings, running, path, ready.stamp),
        name=watch_settings.__qualname__,
    )
    if ready.settings.listen.metrics:
        running.background.keep(
            functools.partial(serve_metrics, running),
            name=serve_metrics.__qualname__,
        )
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG, GC_MIDDLE, GC_OLD)
    await stop.requested.wait()
    cut = await running.drain()
    await running.stop()
    return cut


async def serve_metrics(running: node.Node) -> None:
    """Serves the metrics, as soon as their address is free."""
    context = running.context
    address = context.settings.listen.metrics
    wait = startup.Wait(context.log, lambda: context.now, event="metrics_wait")
    while True:
        try:
            opened = startup.listen((address,))[address]
            break
        except OSError as error:
            wait.note(str(error.strerror), address=address)
        await asyncio.sleep(METRICS_POLL_SECONDS)
    await running.serve_port(
        address, running.control_of(running.metrics), METRICS_BACKLOG, opened
    )
    if wait.reason:
        context.log.event(
            "metrics_served", address=address, waited_ms=wait.waited_ms
        )


def failure(error: Exception) -> dict[str, object]:
    """Returns an error's type, text and place, for one log line."""
    place = traceback.extract_tb(error.__traceback__)[-1]
    return {
        "error": type(error).__name__,
        "detail": str(error)[:DETAIL_CHARACTERS_MAX],
        "place": f"{place.filename}:{place.lineno}",
    }


def reload(running: node.Node, path: pathlib.Path) -> None:
    """Reloads the settings; invalid settings are logged and ignored."""
    try:
        settings = proxy_settings.load(path)
    except errors.SettingsError as error:
        running.context.log.event("settings_invalid", detail=error.detail)
        return
    running.use_settings(settings)


async def watch_settings(
    running: node.Node, path: pathlib.Path, seen: tuple[float, int]
) -> None:
    """Reloads the settings when their file changes, also without SIGHUP.

    A change whose application raises an error is tried again each time.

    Args:
      running: The node.
      path: Settings file.
      seen: Stamp of the file when it was read.
    """
    while True:
        await asyncio.sleep(SETTINGS_SECONDS)
        present = startup.file_stamp(path)
        if present != seen and isolation.run(
            running.context.loop, reload, running, path
        ):
            seen = present


def open_standard_streams() -> None:
    """Opens the null device in place of standard streams that are closed.

    Otherwise a socket gets the number of one of them, and log lines are
    written into it. Output does not block: nobody may read it.
    """
    for number in (STANDARD_INPUT, STANDARD_OUTPUT, STANDARD_ERROR):
        try:
            os.fstat(number)
        except OSError:
            os.open(os.devnull, os.O_RDWR)
    os.set_blocking(STANDARD_OUTPUT, False)
    os.set_blocking(STANDARD_ERROR, False)


def run(path: pathlib.Path) -> int:
    """Runs a node on a uvloop event loop and returns its exit status."""
    open_standard_streams()
    faulthandler.enable(STANDARD_ERROR)
    return uvloop.run(serve(path))
