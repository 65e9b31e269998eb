"""Checks that turn a parsed request into one that may be routed.

The checks do no I/O: state and time are passed in, and a request or a rejection
is returned.
"""

from __future__ import annotations

import dataclasses
import math
import random
from collections.abc import Callable

from currantcart.admission import retry_after, slots
from currantcart.call import origin as origin_module
from currantcart.catalog import model as catalog_model
from currantcart.fleet import freshness
from currantcart.proxy import header_names
from currantcart.workspace import quota, rate_queue

STALE_MS = 3_000.0
"""Age of the configuration above which a missing route proves nothing."""
NOT_READY_RETRY_MS = 500.0
RANKS_MAX = 16


@dataclasses.dataclass(slots=True)
class Request:
    """A caller's request that was received completely and passed the checks.

    Attributes:
      route: Route that it matches.
      request_id: Its id, as sent by the caller.
      method: HTTP method.
      path: Path and query as received.
      head: End-to-end header lines for the target.
      body: Its body.
      head_received_at: When its complete head had been received.
      deadline_ms: How long its caller waits from `head_received_at` on.
      priority: Rank, 0 is the most urgent.
      workspace: Workspace of its key; empty without one.
      internal: Whether it is, or may be, a call made by the local target.
    """

    route: catalog_model.Route
    request_id: str
    method: str
    path: str
    head: bytes
    body: bytes
    head_received_at: float
    deadline_ms: float
    priority: int
    workspace: str
    internal: bool = False


@dataclasses.dataclass(slots=True)
class RequestHead:
    """A request's head, as parsed.

    Attributes:
      method: HTTP method.
      path: Path and query as received.
      host: Lower-case host without port.
      request_id: Its id; empty without one.
      deadline: Value of the deadline header; None without one.
      key: Value of the key header; None without one.
      lines: End-to-end header lines.
      head_received_at: When it was complete.
    """

    method: str = ""
    path: str = ""
    host: str = ""
    request_id: str = ""
    deadline: bytes | None = None
    key: bytes | None = None
    lines: list[bytes] = dataclasses.field(default_factory=list)
    head_received_at: float = 0.0

    def match(
        self, catalog: catalog_model.Catalog
    ) -> catalog_model.Route | None:
        """Returns the route that host and path match; None without one."""
        return catalog.match(self.host, self.path.partition("?")[0])


@dataclasses.dataclass(frozen=True, slots=True)
class Rejection:
    """Answer to a request that is not routed.

    Attributes:
      status: HTTP status.
      code: Error code, the body of the answer.
      retry_after_ms: When a retry may succeed; 0 for no Retry-After.
      workspace: Workspace of the request; empty when it isn't known.
      spread: Whether `retry_after_ms` is chosen for this caller alone, so that
        no jitter is to be added.
    """

    status: int
    code: str
    retry_after_ms: float = 0.0
    workspace: str = ""
    spread: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class TokenNeeded:
    """A request that passed the checks and found no token.

    Attributes:
      request: The request; its head lines for the target are not complete.
    """

    request: Request


NOT_READY = Rejection(503, "not_ready", NOT_READY_RETRY_MS)
INTERNAL_ERROR = Rejection(503, "internal_error", NOT_READY_RETRY_MS)


class Intake:
    """The checks of one node.

    Attributes:
      revoke_ms: Time within which a withdrawn key must stop working.
      quotas: Rate limits of the workspaces.
      rate_queue: Decides which requests get tokens near a rate limit; None if
        a request without a token is refused at once.
      workspace_line: Header line for the target that names the workspace.
      caller_line: Header line for the target that names the local service.
      origin: Returns the origin of a request without a key, from its id and the
        time at which it expires.
    """

    def __init__(
        self,
        *,
        names: header_names.HeaderNames,
        service: str,
        revoke_ms: float,
        quotas: quota.Quotas,
        origin: Callable[[str, float], origin_module.Origin],
    ) -> None:
        self.origin = origin
        self.revoke_ms = revoke_ms
        self.quotas = quotas
        self.rate_queue: rate_queue.RateQueue | None = None
        self.workspace_line = f"{names.workspace}: %s\r\n".encode()
        self.caller_line = f"{names.caller}: {service}\r\n".encode()

    def check(
        self,
        head: RequestHead,
        catalog: catalog_model.Catalog | None,
        config_freshness: freshness.Freshness,
        now: float,
        *,
        closing: bool = False,
        ends_at: float = math.inf,
        has_token: bool = False,
    ) -> Request | Rejection | TokenNeeded:
        """Checks a complete request.

        Args:
          head: Its head.
          catalog: Configuration in force; None before the first one.
          config_freshness: How current the configuration is.
          now: Milliseconds of the node's clock.
          closing: Whether only calls of the local target are still accepted:
            a root request accepted late in a shutdown would be cut off after
            its work was done.
          ends_at: When the node ends all requests, in milliseconds of its
            clock.
          has_token: Whether a token was taken for it before.

        Returns:
          The request to route, the reason why it is not routed, or the request
          that lacks a token.
        """
        if catalog is None:
            return NOT_READY
        route = head.match(catalog)
        current = config_freshness.age(now) < STALE_MS
        if route is None:
            return Rejection(404, "no_route") if current else NOT_READY
        deadline_ms = parse_deadline(head.deadline)
        if deadline_ms is None:
            return Rejection(400, "deadline_invalid")
        origin = self.origin_of(head, catalog, route, deadline_ms)
        if closing and not may_finish(origin, route, now, ends_at=ends_at):
            return Rejection(503, "draining", NOT_READY_RETRY_MS)
        internal = catalog.keyed and origin is not origin_module.Origin.CALLER
        lines = head.lines
        lines.append(self.caller_line)
        request = Request(
            route=route,
            request_id=head.request_id,
            method=head.method,
            path=head.path,
            head=b"",
            body=b"",
            head_received_at=head.head_received_at,
            deadline_ms=deadline_ms,
            priority=(
                slots.CALLS_PRIORITY if internal else rank_of(route, None)
            ),
            workspace="",
            internal=internal,
        )
        if catalog.keyed and not route.keyless:
            found = self.workspace_of(head, catalog, config_freshness, now)
            if isinstance(found, Rejection):
                return found
            request.workspace = found.name
            request.priority = rank_of(route, found)
            if not has_token:
                missing = self.take_token(request, now)
                if missing is not None:
                    # The checks are repeated when it is granted a token.
                    lines.pop()
                    return missing
            lines.append(self.workspace_line % found.name.encode())
        request.head = b"".join(lines)
        return request

    def origin_of(
        self,
        head: RequestHead,
        catalog: catalog_model.Catalog,
        route: catalog_model.Route,
        deadline_ms: float,
    ) -> origin_module.Origin:
        """Returns where a request comes from; calls of targets have no key.

        Args:
          head: Head of the request.
          catalog: Configuration in force.
          route: Route of the request.
          deadline_ms: How long its sender waits from its arrival on.
        """
        if head.key or (catalog.keyed and not route.keyless):
            return origin_module.Origin.CALLER
        expires_at = head.head_received_at + deadline_ms
        return self.origin(head.request_id, expires_at)

    def workspace_of(
        self,
        head: RequestHead,
        catalog: catalog_model.Catalog,
        config_freshness: freshness.Freshness,
        now: float,
    ) -> catalog_model.Workspace | Rejection:
        """Returns the workspace of a key, or why it is not accepted.

        Args:
          head: Head of the request.
          catalog: Configuration in force.
          config_freshness: How current it is.
          now: Milliseconds of the node's clock.
        """
        if not config_freshness.may_serve_keys(now, bound_ms=self.revoke_ms):
            # The key may have been withdrawn while updates did not reach this
            # node.
            return Rejection(503, "config_stale", NOT_READY_RETRY_MS)
        key = (head.key or b"").decode("latin-1")
        found = catalog.workspaces.get(key)
        if found is None:
            if config_freshness.age(now) < STALE_MS:
                return Rejection(401, "key_unknown")
            return NOT_READY
        return found

    def take_token(
        self, request: Request, now: float
    ) -> Rejection | TokenNeeded | None:
        """Takes a token of the workspace's rate limit; None if one was left.

        Args:
          request: The request, with its workspace and rank.
          now: Milliseconds of the node's clock.
        """
        workspace = request.workspace
        queue = self.rate_queue
        if queue is not None and queue.is_near_limit(workspace):
            if queue.admit(workspace, request.priority, now):
                return None
            return TokenNeeded(request)
        wait_ms = self.quotas.admit(workspace, now)
        if not wait_ms:
            return None
        if queue is not None:
            return TokenNeeded(request)
        after = retry_after.delay_ms(
            objective_ms=request.route.objective_ms, least_ms=wait_ms
        )
        return Rejection(429, "rate_exceeded", after, workspace)


def may_finish(
    origin: origin_module.Origin,
    route: catalog_model.Route,
    now: float,
    *,
    ends_at: float,
) -> bool:
    """Returns whether a request is accepted late in a shutdown.

    A refused call fails the request that makes it, and a root that is accepted
    may be cut off. What may be either is accepted while there is time to answer
    it within its objective.

    Args:
      origin: Where the request comes from.
      route: Its route.
      now: Milliseconds of the node's clock.
      ends_at: When the node ends all requests.
    """
    if origin is origin_module.Origin.CALLER:
        return False
    if origin is origin_module.Origin.TARGET:
        return now < ends_at
    return now + route.objective_ms <= ends_at


def rank_of(
    route: catalog_model.Route, workspace: catalog_model.Workspace | None
) -> int:
    """Returns a root request's rank; 0 is reserved for calls of targets.

    The workspace's priority decides first; the route's priority orders
    requests of the same workspace priority.
    """
    first = route.priority
    if workspace is not None and workspace.priority is not None:
        first = workspace.priority
    clamped = min(RANKS_MAX, max(0, first))
    return 1 + clamped * RANKS_MAX + min(RANKS_MAX - 1, max(0, route.priority))


def parse_deadline(value: bytes | None) -> float | None:
    """Returns the deadline in milliseconds; None when it is invalid.

    Without a value the deadline is infinite.
    """
    if value is None:
        return float("inf")
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < float("inf") else None


def local_answer(code: str, *, retry_after_ms: float) -> tuple[bytes, bytes]:
    """Returns header lines and body of an answer that the node generates."""
    head = b"Content-Type: text/plain\r\n"
    if retry_after_ms:
        head += b"Retry-After: %.3f\r\n" % (retry_after_ms / 1_000)
    return head, code.encode() + b"\n"


def jitter(milliseconds: float, rng: random.Random) -> float:
    """Returns a time drawn evenly from 75 to 125 % of a given one.

    Without jitter, callers that were refused at the same time would all retry
    at the same time.
    """
    return milliseconds * (0.75 + 0.5 * rng.random())
