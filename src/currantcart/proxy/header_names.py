"""Names of the HTTP headers that a deployment's callers and targets use.

The deployment supplies the names as data; this package hard-codes none of them.
"""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, as written on the wire.

    Attributes:
      request_id: Id of a request; forwarded unchanged.
      deadline: Time until the caller's deadline, in milliseconds.
      workspace: Name of the workspace; set by the node for the target.
      caller: Service that the request originates from; set by the node for the
        target.
      expected: Id of the only target that may run the request; set by the node.
      not_executed: Set by a target in its response to a request that it did not
        run.
      key: API key of a workspace, sent by the caller.
      seal: Set by a target in responses that it generated itself.
      instance: Id of the target, in its health responses.
      cold: Remaining warm-up in milliseconds, in its health responses.
      limit: Requests per second that a target accepts from all nodes together,
        in each of its responses while it has such a limit.
      leaving: Set to 1 by a target that is leaving, in each of its responses.
    """

    request_id: str
    deadline: str
    workspace: str
    caller: str
    expected: str
    not_executed: str
    key: str
    seal: str
    instance: str
    cold: str
    limit: str
    leaving: str


HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
    }
)


@dataclasses.dataclass(frozen=True, slots=True)
class HeaderKeys:
    """Header names in lower case, for look-up in parsed heads.

    Attributes:
      request_id: See `HeaderNames`.
      deadline: See `HeaderNames`.
      not_executed: See `HeaderNames`.
      key: See `HeaderNames`.
      seal: See `HeaderNames`.
      instance: See `HeaderNames`.
      cold: See `HeaderNames`.
      limit: See `HeaderNames`.
      leaving: See `HeaderNames`.
      stripped: Headers that are not forwarded: `HOP_BY_HOP` and those that
        the node sets itself.
    """

    request_id: bytes
    deadline: bytes
    not_executed: bytes
    key: bytes
    seal: bytes
    instance: bytes
    cold: bytes
    limit: bytes
    leaving: bytes
    stripped: frozenset[bytes]

    @classmethod
    def of(cls, names: HeaderNames) -> HeaderKeys:
        """Returns the keys for a deployment's header names.

        Headers that the node sets itself are stripped from callers' requests,
        because a target would trust them as set by the node.
        """

        def lower(name: str) -> bytes:
            return name.lower().encode()

        set_by_node = {
            lower(names.deadline),
            lower(names.workspace),
            lower(names.caller),
            lower(names.expected),
            lower(names.key),
        }
        return cls(
            request_id=lower(names.request_id),
            deadline=lower(names.deadline),
            not_executed=lower(names.not_executed),
            key=lower(names.key),
            seal=lower(names.seal),
            instance=lower(names.instance),
            cold=lower(names.cold),
            limit=lower(names.limit),
            leaving=lower(names.leaving),
            stripped=HOP_BY_HOP | set_by_node,
        )
