"""How the own guard tells the end of a request that its node routed to it."""

from __future__ import annotations

from typing import Protocol

from currantcart.proxy.requests import call as call_module


class Endings(Protocol):
    """Takes the end of an attempt."""

    def answered(
        self, call: call_module.Call, status: int, head: bytes, body: bytes
    ) -> None:
        """Takes the target's whole answer."""

    def refused(
        self,
        call: call_module.Call,
        code: str,
        *,
        at_target: bool,
        retry_after_ms: float,
    ) -> None:
        """Takes that the request did not run and never will."""

    def lost(self, call: call_module.Call, code: str) -> None:
        """Takes that the outcome is unknown."""


class LocalReply:
    """Takes the end of a request at the own guard."""

    def __init__(self, endings: Endings, call: call_module.Call) -> None:
        self.endings = endings
        self.call = call

    def answered(self, status: int, head: bytes, body: bytes) -> None:
        """Takes the target's whole answer."""
        if self.call.local is self:
            self.endings.answered(self.call, status, head, body)

    def refused(
        self, code: str, *, at_target: bool, retry_after_ms: float
    ) -> None:
        """Takes that the request did not run and never will."""
        if self.call.local is self:
            self.endings.refused(
                self.call,
                code,
                at_target=at_target,
                retry_after_ms=retry_after_ms,
            )

    def lost(self, code: str) -> None:
        """Takes that the outcome is unknown."""
        if self.call.local is self:
            self.endings.lost(self.call, code)
