"""One request on a caller's connection, and its answer."""

from __future__ import annotations

from typing import Protocol

from currantcart.http1 import status
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.requests import intake
from currantcart.workspace import rate_line


class AnswerWriter(Protocol):
    """Connection that writes the answers of its exchanges."""

    def is_last_answer(self, code: int) -> bool:
        """Returns whether the connection is closed after an answer.

        Args:
          code: HTTP status of the answer.
        """

    def write_answers(self) -> None:
        """Writes the answers that are next in order."""


class Exchange:
    """One request on a caller's connection, and its answer.

    Attributes:
      head: Head as parsed.
      rejection: Why the request is not routed; None when it may be.
      parts: Parts of its body, in order.
      size: Bytes of its body received so far.
      held: Bytes of its body that are held in memory.
      complete: Whether the complete request was read.
      call: The routed request; None before routing and after its answer.
      waiter: Its wait for a token; None unless it waits.
      answer: The answer's bytes, until they are written in order.
      started: Whether routing has begun.
      close: Whether the connection is closed after the answer.
      writer: The connection.
    """

    __slots__ = (
        "answer",
        "call",
        "close",
        "complete",
        "head",
        "held",
        "parts",
        "rejection",
        "size",
        "started",
        "waiter",
        "writer",
    )

    def __init__(self, writer: AnswerWriter) -> None:
        self.writer = writer
        self.head = intake.RequestHead()
        self.rejection: intake.Rejection | None = None
        self.parts: list[bytes] = []
        self.size = 0
        self.held = 0
        self.complete = False
        self.call: call_module.Call | None = None
        self.waiter: rate_line.Waiter | None = None
        self.answer: bytes | None = None
        self.started = False
        self.close = False

    def set_answer(self, code: int, head: bytes, body: bytes) -> None:
        """Sets the answer, which is written in the order of the requests.

        Args:
          code: HTTP status.
          head: Header lines, each ending with CR LF.
          body: Body.
        """
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
