"""Calls running at this node's target: the parents of the target's calls."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from currantcart.call import allowance, token
from currantcart.graph import model as graph_model


@dataclasses.dataclass(slots=True)
class ActiveCall:
    """One call that this node's target is running.

    Attributes:
      call_id: Unique id of the call.
      root_id: Id of the root call.
      service: The target's service.
      workspace: Workspace of the root call.
      key_id: Key of the root call.
      importance: Importance of the root call.
      priority: Order under overload.
      deadline_ms: Deadline, in milliseconds of this node's clock.
      allowance: Retries left for the call and all calls below it.
      depth: Depth in the call chain; 0 for a root call.
      traceparent: W3C trace context of the hop; empty without a trace.
      shed_level: Highest level at which a call below was shed.
      cancels: Callbacks that cancel the calls below when this call ends.
    """

    call_id: str
    root_id: str
    service: str
    workspace: str
    key_id: str
    importance: graph_model.Importance
    priority: int
    deadline_ms: float
    allowance: allowance.Allowance
    depth: int
    traceparent: str = ""
    shed_level: int = graph_model.NO_SHEDDING
    cancels: set[Callable[[], object]] = dataclasses.field(default_factory=set)

    def record_shedding(self, level: int) -> None:
        """Records that a call below was shed, to report it upstream."""
        self.shed_level = max(self.shed_level, level)


class ActiveCalls:
    """The active calls that context tokens refer to."""

    def __init__(
        self, *, instance: str, incarnation: int, fleet_secret: bytes
    ) -> None:
        self.instance = instance
        self.incarnation = incarnation
        self.key = token.derive_key(fleet_secret)
        self.calls: dict[str, ActiveCall] = {}

    def begin(self, call: ActiveCall) -> str:
        """Registers a call and returns the context token for its target."""
        self.calls[call.call_id] = call
        return token.sign(
            self.key,
            token.Claims(
                instance=self.instance,
                incarnation=self.incarnation,
                call_id=call.call_id,
                expires_ms=call.deadline_ms,
            ),
        )

    def end(self, call: ActiveCall) -> None:
        """Removes a call and cancels the calls still running below it."""
        self.calls.pop(call.call_id, None)
        for cancel in list(call.cancels):
            cancel()

    def parent(self, text: str, *, now: float) -> ActiveCall:
        """Returns the running call that a token identifies.

        Raises:
          errors.Refusal: The token is not accepted, or its call has ended.
        """
        claims = token.verify(
            self.key,
            text,
            instance=self.instance,
            incarnation=self.incarnation,
            now=now,
        )
        call = self.calls.get(claims.call_id)
        if call is None:
            raise token.invalid("its call has ended")
        return call
