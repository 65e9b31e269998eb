"""Reuse of connections to a target, and matching of their answers."""

from __future__ import annotations

import asyncio
import dataclasses
from typing import cast

import pytest

from currantcart import held_bytes
from currantcart.http1 import pool

MEMORY_MB = 200
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


@dataclasses.dataclass
class FakeTransport:
    """A transport that records what is written.

    Attributes:
      unsent: Bytes in the write buffer.
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
class Client:
    """A connection with a pending request, and the outcome of the request."""

    connection: pool.Connection
    wire: FakeTransport
    answers: list[pool.Response] = dataclasses.field(default_factory=list)
    lost: list[str] = dataclasses.field(default_factory=list)

    def send_request(self) -> None:
        def take(response: pool.Response) -> bool:
            self.answers.append(response)
            return True

        self.connection.send(b"request", take, self.lost.append)


def account() -> held_bytes.HeldBytes:
    return held_bytes.HeldBytes(MEMORY_MB)


@pytest.fixture
def client() -> Client:
    connection, wire = pool.Connection(account()), FakeTransport()
    connection.connection_made(cast(asyncio.BaseTransport, wire))
    made = Client(connection, wire)
    made.send_request()
    return made


def test_complete_answer_leaves_a_reusable_connection(client: Client) -> None:
    client.connection.data_received(COMPLETE[:20])
    assert not client.answers
    client.connection.data_received(COMPLETE[20:])
    assert [answer.body for answer in client.answers] == [b"ok"]
    assert client.connection.reusable


def test_an_answer_before_the_body_is_sent_ends_the_connection(
    client: Client,
) -> None:
    """A target answers a long upload before it was sent completely."""
    client.wire.unsent = 40_000
    client.connection.data_received(COMPLETE)
    assert client.answers
    assert not client.connection.reusable
    made = pool.Pool(
        address=("10.0.0.1", 1),
        loop=cast(asyncio.AbstractEventLoop, None),
        held=account(),
    )
    made.give_back(client.connection, 0.0)
    assert client.wire.aborted
    assert not made.idle


@pytest.mark.parametrize(
    "data",
    [
        COMPLETE + COMPLETE,
        COMPLETE.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
        b"HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
    ],
    ids=["second answer", "Connection: close", "old protocol"],
)
def test_connection_is_not_reused_after_such_an_answer(
    client: Client, data: bytes
) -> None:
    client.connection.data_received(data)
    assert len(client.answers) == 1
    assert not client.connection.reusable


def test_unsolicited_bytes_end_the_connection(client: Client) -> None:
    client.connection.data_received(COMPLETE)
    client.connection.data_received(b"HTTP/1.1 200")
    assert client.wire.aborted


def test_interim_answer_is_discarded(client: Client) -> None:
    client.connection.data_received(b"HTTP/1.1 100 Continue\r\n\r\n")
    assert not client.answers
    client.connection.data_received(COMPLETE)
    assert len(client.answers) == 1


def test_answer_without_length_is_complete_at_the_end_of_the_stream(
    client: Client,
) -> None:
    client.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\npart")
    assert not client.answers
    client.connection.eof_received()
    assert [answer.body for answer in client.answers] == [b"part"]
    assert not client.lost


@pytest.mark.parametrize(
    "error",
    [ConnectionResetError("reset"), BrokenPipeError("broken pipe")],
    ids=["reset seen by the reader", "reset seen by the writer"],
)
@pytest.mark.parametrize("unsent", [0, 40_000])
def test_answer_without_length_is_lost_by_a_reset(
    client: Client, unsent: int, error: OSError
) -> None:
    client.wire.unsent = unsent
    client.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\npart")
    client.connection.connection_lost(error)
    assert not client.answers
    assert client.lost == [str(error)]


@pytest.mark.parametrize(
    "status",
    ["000", "099", "101", "600", "999", "20", "2000", "+200", "0x200"],
)
def test_a_status_that_is_not_one_of_http_loses_the_request(
    client: Client, status: str
) -> None:
    """Guards against callers that get an answer no target can have meant."""
    client.connection.data_received(
        f"HTTP/1.1 {status} X\r\nContent-Length: 2\r\n\r\nok".encode()
    )
    assert client.wire.aborted
    assert len(client.lost) == 1
    assert not client.answers


def test_answer_without_length_is_lost_by_an_end_during_the_upload(
    client: Client,
) -> None:
    """Guards against a reset that the end of the stream comes before."""
    client.wire.unsent = 40_000
    client.connection.data_received(b"HTTP/1.1 200 OK\r\n\r\npart")
    client.connection.eof_received()
    assert not client.answers
    client.connection.connection_lost(None)
    assert client.lost == ["closed without an answer"]


@pytest.mark.parametrize(
    ("header", "waited_ms", "kept"),
    [
        ("", 1_900.0, True),
        ("", 2_100.0, False),
        ("Keep-Alive: timeout=10\r\n", 4_900.0, True),
        ("Keep-Alive: timeout=10\r\n", 5_100.0, False),
        ("Keep-Alive: timeout=soon\r\n", 2_100.0, False),
        ("Keep-Alive: timeout=inf\r\n", 2_100.0, False),
        ("Keep-Alive: timeout=nan\r\n", 2_100.0, False),
        ("Keep-Alive: timeout=-1\r\n", 1_900.0, True),
        (f"Keep-Alive: timeout={'9' * 400}\r\n", 2_100.0, False),
    ],
)
def test_idle_connection_is_reused_well_within_its_time_out_only(
    client: Client, header: str, waited_ms: float, *, kept: bool
) -> None:
    """A request sent while the target closes may or may not have run."""
    client.connection.data_received(
        f"HTTP/1.1 200 OK\r\n{header}Content-Length: 0\r\n\r\n".encode()
    )
    made = pool.Pool(
        address=("10.0.0.1", 1),
        loop=cast(asyncio.AbstractEventLoop, None),
        held=account(),
    )
    made.give_back(client.connection, 0.0)
    assert (made.take(waited_ms) is client.connection) is kept


PIECE_BYTES = 16 * 1024
ENDLESS_BYTES_MAX = 256 * 1024
"""Bytes after which a request whose answer never ends must be lost."""


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 ", b"O" * PIECE_BYTES),
        (b"HTTP/1.1 200 OK\r\nX-Line: ", b"x" * PIECE_BYTES),
        (b"HTTP/1.1 200 OK\r\n", b"X-Line: 1\r\n" * 1_000),
        (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 600),
        (b"HTTP/1.1 103 Early Hints\r\nX-Line: ", b"x" * PIECE_BYTES),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;",
            b"x" * PIECE_BYTES,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"2\r\nok\r\n0\r\nX-Trailer: ",
            b"x" * PIECE_BYTES,
        ),
        (b"", b"no answer"),
    ],
    ids=[
        "reason", "header line", "header lines", "interim answers",
        "interim header line", "chunk extension", "trailer", "no HTTP",
    ],
)  # fmt: skip
def test_bytes_without_end_that_are_no_body_lose_the_request(
    client: Client, start: bytes, more: bytes
) -> None:
    """Guards against a target that never ends its head, nor its trailer."""
    client.connection.data_received(start + more)
    received = len(more)
    while not client.wire.aborted and received < ENDLESS_BYTES_MAX:
        client.connection.data_received(more)
        received += len(more)
    assert client.wire.aborted
    assert len(client.lost) == 1
    assert not client.answers


def test_answers_without_end_to_other_requests_lose_the_request() -> None:
    """Guards against a target that answers everything but what it was asked."""
    connection, wire = pool.Connection(account()), FakeTransport()
    connection.connection_made(cast(asyncio.BaseTransport, wire))
    lost: list[str] = []
    connection.send(b"request", lambda _: False, lost.append)
    for _ in range(10):
        connection.data_received(COMPLETE)
    assert wire.aborted
    assert len(lost) == 1


def test_a_body_in_the_smallest_chunks_is_whole(client: Client) -> None:
    """Guards against a limit on framing that ends proper answers."""
    count = 100_000
    client.connection.data_received(
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        + b"1\r\nx\r\n" * count
        + b"0\r\n\r\n"
    )
    assert [len(answer.body) for answer in client.answers] == [count]


def test_an_answer_after_others_of_earlier_requests_is_matched() -> None:
    connection, wire = pool.Connection(account()), FakeTransport()
    connection.connection_made(cast(asyncio.BaseTransport, wire))
    answers: list[bytes] = []

    def take(response: pool.Response) -> bool:
        answers.append(response.body)
        return len(answers) > pool.MISMATCHES_MAX

    connection.send(b"request", take, lambda _: None)
    connection.data_received(COMPLETE * (pool.MISMATCHES_MAX + 1))
    assert len(answers) == pool.MISMATCHES_MAX + 1


@pytest.mark.parametrize(
    ("start", "more"),
    [
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * PIECE_BYTES),
        (
            b"HTTP/1.1 200 OK\r\nContent-Length: 9000000000\r\n\r\n",
            b"x" * PIECE_BYTES,
        ),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"4000\r\n" + b"x" * PIECE_BYTES + b"\r\n",
        ),
    ],
    ids=["no length", "length", "chunks"],
)  # fmt: skip
def test_a_body_without_end_gets_a_share_of_the_memory_only(
    client: Client, start: bytes, more: bytes
) -> None:
    """Guards against a target whose bodies take its node over its memory."""
    held = client.connection.reader.held
    client.connection.data_received(start)
    largest = 0
    while not client.wire.aborted and largest < held.limit:
        client.connection.data_received(more)
        largest = max(largest, held.held)
    assert client.wire.aborted
    assert len(client.lost) == 1
    assert largest <= held.limit * held_bytes.ANSWER_SHARE
    assert held.held == 0


def test_a_delivered_body_is_released(client: Client) -> None:
    held = client.connection.reader.held
    client.connection.data_received(COMPLETE[:-1])
    assert held.held == 1
    client.connection.data_received(COMPLETE[-1:])
    assert client.answers
    assert held.held == 0


def test_an_abort_within_an_answer_releases_what_was_read(
    client: Client,
) -> None:
    """Guards against an account that fills up with bodies that are gone."""
    held = client.connection.reader.held

    def reject(response: pool.Response) -> bool:
        del response
        client.connection.abort()
        return True

    client.connection.on_answer = reject
    client.connection.data_received(COMPLETE + COMPLETE[:-1])
    assert client.wire.aborted
    assert held.held == 0


async def test_dial_that_fails_with_any_error_is_reported(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a request that keeps its slot after an odd address."""
    loop = asyncio.get_running_loop()
    made = pool.Pool(address=("x" * 70, 9000), loop=loop, held=account())

    async def fail(*args: object) -> None:
        raise UnicodeError("label too long")

    monkeypatch.setattr(loop, "create_connection", fail)
    opened: list[pool.Connection] = []
    reasons: list[str] = []
    made.dial(opened.append, reasons.append)
    await asyncio.sleep(0.1)
    assert not opened
    assert reasons == ["UnicodeError: label too long"]
