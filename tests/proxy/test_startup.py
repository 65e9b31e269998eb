"""What a node waits for before it starts."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Iterator

import pytest

from currantcart import errors
from currantcart.proxy import startup
from currantcart.telemetry import decisions


class Clock:
    """A clock that a test moves."""

    def __init__(self) -> None:
        self.now_ms = 0.0

    def now(self) -> float:
        return self.now_ms


@pytest.fixture
def loop() -> Iterator[asyncio.AbstractEventLoop]:
    opened = asyncio.new_event_loop()
    yield opened
    opened.close()


def wait_of(
    clock: Clock, loop: asyncio.AbstractEventLoop, written: list[bytes]
) -> startup.Wait:
    """Returns a wait whose lines go into a list when they are flushed."""

    def write(data: bytes) -> int:
        written.extend(data.splitlines())
        return len(data)

    log = decisions.DecisionLog(
        instance="", now=clock.now, wall=clock.now, write=write, loop=loop
    )
    return startup.Wait(log, clock.now, event="start_waits")


def test_a_long_wait_is_logged_at_growing_intervals(
    loop: asyncio.AbstractEventLoop,
) -> None:
    """A start that waits for hours must not flood the log."""
    clock, written = Clock(), list[bytes]()
    wait = wait_of(clock, loop, written)
    logged = []
    for clock.now_ms in range(0, 3_600_000, 100):
        wait.note("Address already in use", address="127.0.0.1:1")
        wait.log.flush()
        if written:
            logged.append(clock.now_ms / 1_000)
            assert b"address=127.0.0.1:1" in written.pop()
    assert logged == [0, 1, 3, 7, 15, 31, 63, *range(123, 3_600, 60)]
    assert wait.waited_ms == 3_599_900


def test_changing_reasons_are_logged_once_a_second(
    loop: asyncio.AbstractEventLoop,
) -> None:
    """A file that is written all the time gives another reason each time."""
    clock, written = Clock(), list[bytes]()
    wait = wait_of(clock, loop, written)
    for clock.now_ms in range(0, 10_000, 50):
        wait.note(f"line {clock.now_ms}")
    wait.log.flush()
    assert len(written) == 10


def test_no_address_is_held_unless_all_are_free() -> None:
    """Callers must not reach a node that another port keeps from starting."""
    with socket.socket() as taken, socket.socket() as free:
        taken.bind(("127.0.0.1", 0))
        taken.listen()
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
        free.close()
        busy = f"127.0.0.1:{taken.getsockname()[1]}"
        with pytest.raises(OSError, match="in use") as caught:
            startup.listen((f"127.0.0.1:{port}", busy))
        assert caught.value.filename == busy
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection(("127.0.0.1", port))
        for opened in startup.listen((f"127.0.0.1:{port}",)).values():
            opened.close()


def test_an_address_that_is_given_twice_is_not_served_twice() -> None:
    """One of two ports would be served by the protocol of the other."""
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{free.getsockname()[1]}"
    with pytest.raises(OSError, match="in use"):
        startup.listen((address, address))


def test_an_address_that_is_not_there_is_named() -> None:
    """The log line must say which address a start waits for."""
    address = "192.0.2.1:7000"
    with pytest.raises(OSError) as caught:
        startup.listen((address,))
    assert caught.value.filename == address


def test_an_address_that_cannot_be_is_named() -> None:
    """The log line must say which address a start waits for."""
    with pytest.raises(errors.SettingsError, match=r"127\.0\.0\.1:99999"):
        startup.listen(("127.0.0.1:99999",))
