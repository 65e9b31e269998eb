"""Results of attempts at the local guard, passed on to the router."""

from __future__ import annotations

from typing import Protocol

from currantcart.proxy.requests import call as call_module


class AttemptHandler(Protocol):
    """Handles the result of an attempt."""

    def answered(
        self, call: call_module.Call, status: int, head: bytes, body: bytes
    ) -> None:
        """Handles the target's complete answer."""

    def refused(
        self,
        call: call_module.Call,
        code: str,
        *,
        at_target: bool,
        retry_after_ms: float,
    ) -> None:
        """Handles a refusal: the request did not run and never will."""

    def lost(
        self, call: call_module.Call, code: str, *, end_number: int = 0
    ) -> None:
        """Handles a lost attempt, whose outcome is unknown."""


class LocalReply:
    """Passes on the result of a request at the local guard.

    Results of an attempt that is no longer the request's current one are
    ignored.
    """

    def __init__(self, handler: AttemptHandler, call: call_module.Call) -> None:
        self.handler = handler
        self.call = call

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Handles the target's complete answer."""
        if self.call.local_reply is self:
            self.handler.answered(self.call, status, head, body)

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Handles a refusal: the request did not run and never will."""
        if self.call.local_reply is self:
            self.handler.refused(
                self.call,
                code,
                at_target=at_target,
                retry_after_ms=retry_after_ms,
            )

    def lost(self, code: str, *, end_number: int = 0) -> None:
        """Handles a lost attempt, whose outcome is unknown."""
        if self.call.local_reply is self:
            self.handler.lost(self.call, code, end_number=end_number)
