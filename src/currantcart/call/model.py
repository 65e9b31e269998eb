"""A call on its way from the node that accepted it to a target."""

from __future__ import annotations

import dataclasses

from currantcart.call import active, allowance
from currantcart.graph import model as graph_model


@dataclasses.dataclass(slots=True)
class Call:
    """One call that has passed all checks of the node that accepted it.

    Attributes:
      call_id: Unique id of this call.
      root_id: Id of the root call of its chain.
      service: Service called.
      method: HTTP method.
      path: Path and query inside the service.
      workspace: Workspace whose key the root call was made with.
      key_id: Id of that key.
      importance: Importance of the root call.
      priority: Order under overload.
      idempotent: Whether it may run more than once.
      once: Whether it must be claimed before it runs.
      deadline_ms: Deadline, in milliseconds of this node's clock.
      allowance: Retries left for the call and all calls below it.
      depth: Depth in the call chain; 0 for a root call.
      parent: The running call that made it; None for a root call.
      traceparent: W3C trace context; empty without a trace.
    """

    call_id: str
    root_id: str
    service: str
    method: str
    path: str
    workspace: str
    key_id: str
    importance: graph_model.Importance
    priority: int
    idempotent: bool
    once: bool
    deadline_ms: float
    allowance: allowance.Allowance
    depth: int
    parent: active.ActiveCall | None
    traceparent: str
