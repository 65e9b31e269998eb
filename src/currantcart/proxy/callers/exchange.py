"""One request on a caller's connection, and its answer."""

from __future__ import annotations

from typing import Protocol

from currantcart.http1 import status
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import intake


class AnswerWriter(Protocol):
    """The connection that an exchange belongs to."""

    def is_last_answer(self, code: int) -> bool:
        """Tells whether the connection is closed behind an answer."""

    def write_answers(self) -> None:
        """Writes the answers whose turn it is."""


class Exchange:
    """One request on a caller's connection, and its answer.

    Attributes:
      head: Head as parsed.
      rejection: Why the request goes nowhere; None when nothing speaks
        against it.
      parts: Its body as it came.
      size: Bytes of its body.
      whole: Whether the whole request was read.
      call: The request on its way.
      answer: The answer's bytes, while they wait for their turn.
      started: Whether routing has begun.
      close: Whether the connection is closed behind the answer.
    """

    __slots__ = (
        "answer",
        "call",
        "close",
        "head",
        "parts",
        "rejection",
        "size",
        "started",
        "whole",
        "writer",
    )

    def __init__(self, writer: AnswerWriter) -> None:
        self.writer = writer
        self.head = intake.RequestHead()
        self.rejection: intake.Rejection | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.whole = False
        self.call: call_module.Call | None = None
        self.answer: bytes | None = None
        self.started = False
        self.close = False

    def take_answer(self, code: int, head: bytes, body: bytes) -> None:
        """Takes the answer, to be written when it is its turn."""
        self.call = None
        if self.writer.is_last_answer(code):
            self.close = True
        self.answer = b"".join(
            (
                status.STATUS_LINES[code],
                head,
                b"Connection: close\r\n" if self.close else b"",
                b""
                if code in (204, 304)
                else b"Content-Length: %d\r\n" % len(body),
                b"\r\n",
                b"" if self.head.method == "HEAD" else body,
            )
        )
        self.writer.write_answers()
