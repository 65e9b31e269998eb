"""The decision log: bounded, complete lines, never blocking."""

from __future__ import annotations

import asyncio

import pytest

from currantcart.telemetry import decisions


class Pipe:
    """A pipe that accepts at most `room` bytes per write."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.data = b""

    def write(self, data: bytes) -> int:
        taken = data[: self.room]
        self.data += taken
        if not taken:
            raise BlockingIOError
        return len(taken)

    @property
    def lines(self) -> list[str]:
        return self.data.decode().splitlines()


class Time:
    """A clock that the test advances."""

    def __init__(self) -> None:
        self.at = 5_000.0

    def now(self) -> float:
        return self.at


def new_log(pipe: Pipe, time: Time) -> decisions.DecisionLog:
    return decisions.DecisionLog(
        instance="n1",
        now=time.now,
        wall=time.now,
        write=pipe.write,
        loop=asyncio.get_running_loop(),
    )


async def test_decision_is_one_logfmt_line() -> None:
    pipe = Pipe(10_000)
    log = new_log(pipe, Time())
    log.event("refused", id="r1", code="queue_full", waiting=3)
    await asyncio.sleep(0.1)
    (line,) = pipe.lines
    assert "event=refused instance=n1 id=r1 code=queue_full waiting=3" in line


async def test_lines_above_the_rate_limit_are_counted_and_reported() -> None:
    pipe, time = Pipe(10_000_000), Time()
    log = new_log(pipe, time)
    for _ in range(decisions.LINES_A_SECOND + 7):
        log.event("refused")
    time.at += 1_001
    log.event("refused")
    await asyncio.sleep(0.1)
    assert len(pipe.lines) == decisions.LINES_A_SECOND + 2
    assert "event=lines_left_out instance=n1 n_refused=7" in pipe.lines[-2]


async def test_full_pipe_drops_lines_and_does_not_block() -> None:
    pipe, time = Pipe(0), Time()
    log = new_log(pipe, time)
    log.event("refused")
    await asyncio.sleep(0.1)
    assert log.dropped_bytes > 0
    pipe.room = 10_000
    time.at += 1_001
    log.event("refused")
    await asyncio.sleep(0.1)
    assert "event=bytes_left_out" in pipe.lines[0]


async def test_partially_written_line_is_completed() -> None:
    """A pipe that is nearly full accepts only a part of a write."""
    pipe = Pipe(30)
    log = new_log(pipe, Time())
    log.event("first", n=1)
    log.event("second", n=2)
    await asyncio.sleep(0.1)
    pipe.room = 10_000
    log.event("third", n=3)
    await asyncio.sleep(0.1)
    assert [line.split()[-1] for line in pipe.lines] == ["n=1", "n=3"]


async def test_the_last_line_is_written_whatever_the_rate() -> None:
    """The line that says why a process ends must not be left out."""
    pipe = Pipe(10_000_000)
    log = new_log(pipe, Time())
    for _ in range(2 * decisions.LINES_A_SECOND):
        log.event("refused")
    log.last("stopped", status=0)
    assert "event=stopped instance=n1 status=0" in pipe.lines[-1]


async def test_a_line_before_the_settings_names_no_instance() -> None:
    """An instance that is not known yet is left out."""
    pipe = Pipe(10_000)
    log = new_log(pipe, Time())
    log.instance = ""
    log.last("start_waits", reason="x")
    assert pipe.lines[-1].endswith("event=start_waits reason=x")


@pytest.mark.parametrize(
    ("value", "written"),
    [
        ("\ud800", "event=odd instance=n1 value=\\ud800"),
        (10**5_000, "event=line_unwritable instance=n1 of=odd"),
        ("x" * 100_000, "event=odd instance=n1 value=xxx"),
        ("a\nb", "event=odd instance=n1 value="),
    ],
    ids=["surrogate", "digits", "long", "lines"],
)
async def test_any_value_is_one_bounded_line(
    value: object, written: str
) -> None:
    """Guards against an error or a flood from logging a stranger's value."""
    pipe = Pipe(1_000_000)
    log = new_log(pipe, Time())
    log.event("odd", value=value)
    log.event("next")
    await asyncio.sleep(0.1)
    odd, after = pipe.lines
    assert written in odd
    assert len(odd) < 1_200
    assert "event=next" in after


@pytest.mark.parametrize(
    ("character", "shown"),
    [
        ("\0", r"\x00"),
        ("\r", r"\r"),
        ("\n", r"\n"),
        ("\x1b", r"\x1b"),
        ("\x1c", r"\x1c"),
        ("\x85", r"\x85"),
        ("\u2028", r"\u2028"),
        ("\ud800", r"\ud800"),
    ],
)
async def test_a_value_cannot_end_a_line_for_any_reader(
    character: str, shown: str
) -> None:
    """What a stranger sends must not forge a line, nor hide the log."""
    pipe = Pipe(10_000)
    log = new_log(pipe, Time())
    log.event("report_of_another_service", service=f"é{character}event=ended")
    log.event("report_unreadable", detail=character * 5_000)
    log.flush()
    assert len(pipe.lines) == 2
    assert pipe.data.decode().removesuffix("\n").replace("\n", "").isprintable()
    assert f"é{shown}event=ended" in pipe.lines[0]
    assert len(pipe.lines[1]) < len(shown) * 1_000 + 100
