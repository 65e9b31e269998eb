"""Connections to a target: which may be used again, which answers count."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import cast

import pytest

from currantcart.http1 import pool

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@dataclasses.dataclass
class Wire:
    """A transport that keeps what is written.

    Attributes:
      unsent: Bytes that the kernel did not take yet.
    """

    written: bytes = b""
    unsent: int = 0
    aborted: bool = False

    def write(self, data: bytes) -> None:
        self.written += data

    def is_closing(self) -> bool:
        return self.aborted

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def abort(self) -> None:
        self.aborted = True


@dataclasses.dataclass
class Line:
    """A connection with a request on it, and how that has ended."""

    connection: pool.Connection
    wire: Wire
    answers: list[pool.Response] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)

    def ask(self) -> None:
        def take(response: pool.Response) -> bool:
            self.answers.append(response)
            return True

        self.connection.send(b"request", take, self.lost.append)


@pytest.fixture
def line() -> Line:
    connection, wire = pool.Connection(), Wire()
    connection.connection_made(cast(asyncio.BaseTransport, wire))
    made = Line(connection, wire)
    made.ask()
    return made


def test_a_whole_answer_leaves_a_connection_for_the_next(line: Line) -> None:
    line.connection.data_received(WHOLE[:20])
    assert not line.answers
    line.connection.data_received(WHOLE[20:])
    assert [answer.body for answer in line.answers] == [b"ok"]
    assert line.connection.reusable


def test_an_answer_before_the_body_is_sent_ends_the_connection(
    line: Line,
) -> None:
    """A target refuses a long upload before it has read it, and reads on."""
    line.wire.unsent = 40_000
    line.connection.data_received(WHOLE)
    assert line.answers
    assert not line.connection.reusable
    made = pool.Pool(
        address=("10.0.0.1", 1), loop=cast(asyncio.AbstractEventLoop, None)
    )
    made.give_back(line.connection, 0.0)
    assert line.wire.aborted
    assert not made.idle


@pytest.mark.parametrize(
    "data",
    [
        WHOLE + WHOLE,
        WHOLE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ],
    ids=["a second answer", "said to close", "an old protocol"],
)
def test_what_an_answer_leaves_behind_is_not_used_again(
    line: Line, data: bytes
) -> None:
    line.connection.data_received(data)
    assert len(line.answers) == 1
    assert not line.connection.reusable


def test_bytes_that_nobody_asked_for_end_the_connection(line: Line) -> None:
    line.connection.data_received(WHOLE)
    line.connection.data_received(b"HTTP/1.1 200")
    assert line.wire.aborted


def test_an_interim_answer_is_none(line: Line) -> None:
    line.connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert not line.answers
    line.connection.data_received(WHOLE)
    assert len(line.answers) == 1


def test_an_answer_without_length_is_whole_at_the_end_of_the_stream(
    line: Line,
) -> None:
    line.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\npart")
    assert not line.answers
    line.connection.eof_received()
    assert [answer.body for answer in line.answers] == [b"part"]
    assert not line.lost


def test_an_answer_without_length_that_is_reset_is_lost(line: Line) -> None:
    line.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\npart")
    line.connection.connection_lost(ConnectionResetError("reset"))
    assert not line.answers
    assert line.lost == ["reset"]


@pytest.mark.parametrize(
    ("header", "waited_ms", "kept"),
    [
        ("", 1_900.0, True),
        ("", 2_100.0, False),
        ("Keep-Alive: timeout=10\r\n", 4_900.0, True),
        ("Keep-Alive: timeout=10\r\n", 5_100.0, False),
        ("Keep-Alive: timeout=soon\r\n", 2_100.0, False),
    ],
)
def test_an_idle_connection_is_used_well_within_its_time_only(
    line: Line, header: str, waited_ms: float, *, kept: bool
) -> None:
    """A request that meets the target's close may or may not have run."""
    line.connection.data_received(
        f"HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n".encode()
    )
    made = pool.Pool(
        address=("10.0.0.1", 1), loop=cast(asyncio.AbstractEventLoop, None)
    )
    made.give_back(line.connection, 0.0)
    assert (made.take(waited_ms) is line.connection) is kept
