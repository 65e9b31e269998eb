"""Validates a request and builds a call: key or context, graph, deadline.

The decisions use only the parsed head of the request; there is no I/O.
"""

from __future__ import annotations

import dataclasses
import itertools
import secrets
from collections.abc import Iterator

from multidict import CIMultiDictProxy

from currantcart import errors
from currantcart.call import active, allowance, deadline
from currantcart.call import model as call_model
from currantcart.config import view as config_view
from currantcart.graph import model as graph_model
from currantcart.http1 import headers
from currantcart.node import context as node_context
from currantcart.workspace import model as workspace_model

IDEMPOTENCY_KEY_CHARS_MAX = 128


def refuse(code: errors.Code, step: errors.Step, detail: str) -> errors.Refusal:
    """Returns a refusal of a call that was not forwarded."""
    return errors.Refusal(code, step, detail, not_run=True)


def new_call_ids() -> Iterator[str]:
    """Yields call ids that are unique across nodes and restarts."""
    prefix = secrets.token_hex(6)
    for number in itertools.count():
        yield f"{prefix}{number:08x}"


def split_path(raw: str) -> tuple[str, str]:
    """Splits `/service/rest?query` into the service and the target's path.

    Raises:
      errors.Refusal: The path does not start with a slash.
    """
    if not raw.startswith("/"):
        raise refuse(
            errors.Code.BAD_REQUEST,
            errors.Step.PARSE,
            "the path must start with /SERVICE",
        )
    end = len(raw)
    for separator in "/?":
        found = raw.find(separator, 1)
        if found != -1:
            end = min(end, found)
    rest = raw[end:]
    return raw[1:end], rest if rest.startswith("/") else f"/{rest}"


@dataclasses.dataclass(frozen=True, slots=True)
class Origin:
    """Identity under which a call is made.

    Attributes:
      workspace: Workspace of the root call's key.
      key_id: Id of that key.
      parent: The running call that makes it; None for a root call.
    """

    workspace: str
    key_id: str
    parent: active.ActiveCall | None


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Destination of a request within a service.

    Attributes:
      route: Route of the service that matches the request.
      method: HTTP method.
      path: Path and query inside the service.
    """

    route: graph_model.Route
    method: str
    path: str


class Intake:
    """Validates the requests that reach one node."""

    def __init__(self, context: node_context.NodeContext) -> None:
        self.context = context
        self.call_ids = new_call_ids()

    def check(
        self, method: str, raw_path: str, fields: CIMultiDictProxy[str]
    ) -> call_model.Call:
        """Validates the head of a request and builds the call.

        Args:
          method: HTTP method.
          raw_path: Path and query of the request.
          fields: Headers of the request.

        Raises:
          errors.Refusal: A check failed; the call was not forwarded.
        """
        now = self.context.clock.now()
        view = self.context.config.require()
        name, path = split_path(raw_path)
        timeout_ms = deadline.parse_timeout(fields.get(headers.TIMEOUT))
        check_idempotency_key(fields.get(headers.IDEMPOTENCY_KEY))
        origin = self.find_origin(view, fields, now)
        service = find_service(view, name, origin.parent)
        route = service.route(method, path)
        deadline_ms = deadline.earliest(
            now=now,
            timeout_ms=timeout_ms,
            patience_ms=service.patience_at(
                self.context.clock.wall(),
                utc_offset_minutes=view.graph.utc_offset_minutes,
            ),
            parent_deadline_ms=(
                origin.parent.deadline_ms if origin.parent else None
            ),
        )
        return self.build(
            origin,
            view.workspaces[origin.workspace],
            service,
            Target(route, method, path),
            deadline_ms=deadline_ms,
            traceparent=fields.get(headers.TRACEPARENT, ""),
        )

    def find_origin(
        self,
        view: config_view.View,
        fields: CIMultiDictProxy[str],
        now: float,
    ) -> Origin:
        """Authenticates a call by its context token or its API key.

        Raises:
          errors.Refusal: The token or key is not valid or both are missing,
            or the call has no token and this node is isolated.
        """
        token = fields.get(headers.CONTEXT)
        if token is not None:
            parent = self.context.active.parent(token, now=now)
            if parent.key_id not in view.key_ids:
                raise refuse(
                    errors.Code.KEY_UNKNOWN,
                    errors.Step.AUTHENTICATE,
                    "the key of the root call was withdrawn",
                )
            return Origin(parent.workspace, parent.key_id, parent)
        if self.context.isolation.is_isolated(now):
            raise refuse(
                errors.Code.NOT_READY,
                errors.Step.AUTHENTICATE,
                "this node is isolated and may have missed withdrawn keys",
            )
        api_key = headers.bearer_key(fields.get(headers.AUTHORIZATION))
        if api_key is None:
            raise refuse(
                errors.Code.KEY_MISSING,
                errors.Step.AUTHENTICATE,
                "the call has neither an API key nor a call context",
            )
        key = view.keys_by_digest.get(workspace_model.digest_of(api_key))
        if key is None:
            raise refuse(
                errors.Code.KEY_UNKNOWN,
                errors.Step.AUTHENTICATE,
                "the key is unknown or was withdrawn",
            )
        return Origin(key.workspace, key.key_id, None)

    def build(
        self,
        origin: Origin,
        workspace: workspace_model.Workspace,
        service: graph_model.Service,
        target: Target,
        *,
        deadline_ms: float,
        traceparent: str,
    ) -> call_model.Call:
        """Builds a root call, or one that inherits from its parent.

        A root call creates the retry allowance of its chain. All calls below
        share it, and inherit the importance of the root call.
        """
        call_id = next(self.call_ids)
        parent = origin.parent
        depth = parent.depth + 1 if parent else 0
        check_depth(depth)
        requested = parent.importance if parent else target.route.importance
        importance = min(requested, service.max_importance)
        return call_model.Call(
            call_id=call_id,
            root_id=parent.root_id if parent else call_id,
            service=service.name,
            method=target.method,
            path=target.path,
            workspace=workspace.name,
            key_id=origin.key_id,
            importance=importance,
            priority=graph_model.priority(
                importance, workspace.importance, depth=depth
            ),
            idempotent=target.route.idempotent,
            once=target.route.once,
            deadline_ms=deadline_ms,
            allowance=(
                parent.allowance
                if parent
                else allowance.Allowance(service.retries)
            ),
            depth=depth,
            parent=parent,
            traceparent=parent.traceparent if parent else traceparent,
        )


def check_depth(depth: int) -> None:
    """Refuses a call that exceeds the maximum depth of a chain."""
    if depth >= graph_model.DEPTH_MAX:
        raise refuse(
            errors.Code.TOO_DEEP,
            errors.Step.GRAPH,
            f"the chain is {depth + 1} deep, limit: {graph_model.DEPTH_MAX}",
        )


def check_idempotency_key(value: str | None) -> None:
    """Validates an idempotency key, if there is one."""
    if value is None:
        return
    printable = value.isascii() and value.isprintable()
    if not (printable and 0 < len(value) <= IDEMPOTENCY_KEY_CHARS_MAX):
        raise refuse(
            errors.Code.IDEMPOTENCY_KEY_INVALID,
            errors.Step.PARSE,
            f"Idempotency-Key must have 1 to {IDEMPOTENCY_KEY_CHARS_MAX} "
            "printable ASCII characters",
        )


def find_service(
    view: config_view.View, name: str, parent: active.ActiveCall | None
) -> graph_model.Service:
    """Returns the called service, if the parent may call it."""
    service = view.graph.services.get(name)
    if service is None:
        raise refuse(
            errors.Code.UNKNOWN_SERVICE,
            errors.Step.GRAPH,
            f"service {name[:64]!r} is not in the services text",
        )
    if parent is None:
        return service
    caller = view.graph.services.get(parent.service)
    if caller is None or name not in caller.depends_on:
        raise refuse(
            errors.Code.NOT_A_DEPENDENCY,
            errors.Step.GRAPH,
            f"{parent.service} does not depend on {name}",
        )
    return service
