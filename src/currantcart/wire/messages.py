"""Messages on a stream between two nodes, as in docs/reference/wire.md.

The kinds and the types and order of the fields are the wire format.
"""

from __future__ import annotations

import dataclasses
from typing import Any, ClassVar, TypeAlias

CHUNK_BYTES_MAX = 64 * 1024
Headers: TypeAlias = list[list[str]]
NUMBER = (int, float)


@dataclasses.dataclass(slots=True)
class Open:
    """Opens a call.

    Attributes:
      call_number: Number of the call on this stream.
      call_id: Unique id of the call.
      root_id: Id of its root call.
      service: Called service.
      method: HTTP method.
      path: Path and query for the target.
      headers: Headers for the target, as pairs.
      workspace: Workspace of the root call.
      key_id: Key of the root call.
      importance: Importance of the root call.
      priority: Rank for shedding under overload.
      remaining_ms: Time left until the deadline; a duration, since the clocks
        of nodes differ.
      allowance: Retry allowance lent to the call and all calls below it.
      depth: 0 for a root call.
      traceparent: W3C trace context; empty without a trace.
      chunk: First bytes of the body.
      last: Whether `chunk` is the complete body.
    """

    KIND: ClassVar[int] = 1
    TYPES: ClassVar[tuple[Any, ...]] = (
        int, str, str, str, str, str, list, str, str, int, int, NUMBER,
        int, int, str, bytes, bool,
    )  # fmt: skip
    call_number: int
    call_id: str
    root_id: str
    service: str
    method: str
    path: str
    headers: Headers
    workspace: str
    key_id: str
    importance: int
    priority: int
    remaining_ms: float
    allowance: int
    depth: int
    traceparent: str
    chunk: bytes
    last: bool


@dataclasses.dataclass(slots=True)
class Answer:
    """Starts the answer of a target.

    Attributes:
      call_number: Number of the call on this stream.
      status: HTTP status.
      headers: Headers, as pairs.
      allowance: Unused part of the retry allowance.
      shed_level: Highest level at which a call of the chain was shed.
      load: Calls running and waiting at the target.
      limit: Concurrency limit of the target.
      chunk: First bytes of the body.
      last: Whether `chunk` is the complete body.
    """

    KIND: ClassVar[int] = 2
    TYPES: ClassVar[tuple[Any, ...]] = (
        int, int, list, int, int, NUMBER, NUMBER, bytes, bool,
    )  # fmt: skip
    call_number: int
    status: int
    headers: Headers
    allowance: int
    shed_level: int
    load: float
    limit: float
    chunk: bytes
    last: bool


@dataclasses.dataclass(slots=True)
class Refuse:
    """Ends a call without an answer of a target.

    Attributes:
      call_number: Number of the call on this stream.
      code: Reason, a value of `errors.Code`.
      step: Step that failed, a value of `errors.Step`.
      peer: Instance that refuses.
      detail: Description in one line.
      not_run: Whether the call is known not to have run.
      retry_after_ms: Time after which a retry may succeed.
      allowance: Unused part of the retry allowance.
      shed_level: Highest level at which a call of the chain was shed.
      load: Calls running and waiting at the target.
      limit: Concurrency limit of the target.
    """

    KIND: ClassVar[int] = 3
    TYPES: ClassVar[tuple[Any, ...]] = (
        int, str, str, str, str, bool, NUMBER, int, int, NUMBER, NUMBER,
    )  # fmt: skip
    call_number: int
    code: str
    step: str
    peer: str
    detail: str
    not_run: bool
    retry_after_ms: float
    allowance: int
    shed_level: int
    load: float
    limit: float


@dataclasses.dataclass(slots=True)
class Data:
    """Carries a part of a body, in either direction."""

    KIND: ClassVar[int] = 4
    TYPES: ClassVar[tuple[Any, ...]] = (int, bytes, bool)
    call_number: int
    chunk: bytes
    last: bool


@dataclasses.dataclass(slots=True)
class Window:
    """Grants the other side credit for more bytes of a call's body."""

    KIND: ClassVar[int] = 5
    TYPES: ClassVar[tuple[Any, ...]] = (int, int)
    call_number: int
    credit: int


@dataclasses.dataclass(slots=True)
class Reset:
    """Aborts a call, in either direction."""

    KIND: ClassVar[int] = 6
    TYPES: ClassVar[tuple[Any, ...]] = (int, str, str)
    call_number: int
    code: str
    detail: str


@dataclasses.dataclass(slots=True)
class Hello:
    """Starts the handshake; the first message of each side.

    Attributes:
      version_min: Oldest wire version that the sender supports.
      version_max: Newest wire version that the sender supports.
      instance: Instance that sends the message.
      nonce: Random bytes that both proofs cover.
    """

    KIND: ClassVar[int] = 7
    TYPES: ClassVar[tuple[Any, ...]] = (int, int, str, bytes)
    version_min: int
    version_max: int
    instance: str
    nonce: bytes


@dataclasses.dataclass(slots=True)
class Proof:
    """Proves that the sender holds the fleet secret."""

    KIND: ClassVar[int] = 8
    TYPES: ClassVar[tuple[Any, ...]] = (bytes,)
    mac: bytes


@dataclasses.dataclass(slots=True)
class Fetch:
    """Requests the configuration and the members known to the peer."""

    KIND: ClassVar[int] = 9
    TYPES: ClassVar[tuple[Any, ...]] = (int,)
    revision: int


@dataclasses.dataclass(slots=True)
class State:
    """Answers a `Fetch`.

    Attributes:
      revision: Configuration revision in force; 0 without one.
      document: Text of the configuration; empty if the requester has it.
      members: Members as lists of fields.
    """

    KIND: ClassVar[int] = 10
    TYPES: ClassVar[tuple[Any, ...]] = (int, bytes, list)
    revision: int
    document: bytes
    members: list[Any]


@dataclasses.dataclass(slots=True)
class Ask:
    """Requests a loan of a workspace's tokens.

    Attributes:
      number: Matches the answer to the request.
      workspace: Workspace of the tokens.
      amount: Maximum number of tokens.
    """

    KIND: ClassVar[int] = 11
    TYPES: ClassVar[tuple[Any, ...]] = (int, str, NUMBER)
    number: int
    workspace: str
    amount: float


@dataclasses.dataclass(slots=True)
class Give:
    """Answers an `Ask`; the amount is 0 if no tokens can be lent."""

    KIND: ClassVar[int] = 12
    TYPES: ClassVar[tuple[Any, ...]] = (int, NUMBER)
    number: int
    amount: float


Message: TypeAlias = (
    Open
    | Answer
    | Refuse
    | Data
    | Window
    | Reset
    | Hello
    | Proof
    | Fetch
    | State
    | Ask
    | Give
)
CLASSES: dict[int, type[Any]] = {
    cls.KIND: cls
    for cls in (
        Open,
        Answer,
        Refuse,
        Data,
        Window,
        Reset,
        Hello,
        Proof,
        Fetch,
        State,
        Ask,
        Give,
    )
}
