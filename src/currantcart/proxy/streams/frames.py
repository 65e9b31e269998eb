"""Messages between two nodes: one msgpack array each, its type first."""

from __future__ import annotations

from collections.abc import Callable
from typing import Annotated

import msgspec

from currantcart import bounds, decoding, errors

CHUNK_BYTES = 64 * 1024

Fingerprint = Annotated[int, msgspec.Meta(ge=0)]
"""Fingerprint of a request, of 64 bits."""


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A node's description of itself.

    Attributes:
      instance: Name of its instance.
      process: Id of its process; a new one with each start.
      address: Where it accepts streams from peers, as IP:PORT.
      service: Service of its target.
      failure_domain: Failure domain that it runs in.
    """

    instance: bounds.Name
    process: bounds.Name
    address: bounds.Name
    service: bounds.Name
    failure_domain: bounds.Name

    @property
    def is_dialable(self) -> bool:
        """Whether the address can be dialled without a look-up."""
        return bounds.is_address(self.address)


class TargetState(msgspec.Struct, array_like=True):
    """State of a node's target.

    Attributes:
      target_id: Its id; empty while none is known.
      ready: Whether it accepts requests.
      limit: Concurrency limit.
      busy: Requests that are running or queued.
      cold_ms: Remaining time for which it is slow after its start.
      pressure: Pressure on it and on the services that it calls, 0 to 1 each.
      leaving: Whether it has reported that it is leaving.
      born: Start time of its process (incarnation), in milliseconds since
        1970.
      work_ms: Processing time of a request; 0 while unknown.
      work_by_kind: The same by kind of request; only kinds that were measured.
      slow_now: How much longer than usual the running requests take; 1 if they
        take as long as usual.
      usage: Requests per second by rank and workspace (RANK:WORKSPACE), only
        of those that use it most for their weight; without a workspace, of all
        others of the rank. Includes what is shed where requests enter. Empty
        without overload.
    """

    target_id: bounds.OptionalIdentifier = ""
    ready: bool = False
    limit: bounds.Count = 1
    busy: bounds.Integer = 0
    cold_ms: bounds.Amount = 0.0
    pressure: dict[str, bounds.Amount] = {}
    leaving: bool = False
    born: bounds.UnixMs = 0
    work_ms: bounds.Amount = 0.0
    work_by_kind: dict[str, bounds.Amount] = {}
    slow_now: bounds.Amount = 1
    usage: dict[str, bounds.Finite] = {}


class Evacuations(msgspec.Struct, array_like=True, frozen=True):
    """Evacuated failure domains that a node knows.

    Attributes:
      revision: Revision of the store as of which they are evacuated.
      domains: Their names.
    """

    revision: bounds.Ordinal
    domains: tuple[str, ...]


class Evidence(msgspec.Struct, array_like=True, frozen=True):
    """Ends of targets that count against one request, or no longer do.

    Attributes:
      fingerprint: Fingerprint of the request.
      ends: Target, number of its end, and time since then in milliseconds.
      cleared: Target and number of the ends that no longer count.
    """

    fingerprint: Fingerprint
    ends: tuple[tuple[bounds.Name, bounds.Ordinal, bounds.Amount], ...]
    cleared: tuple[tuple[bounds.Name, bounds.Ordinal], ...] = ()


class Hello(msgspec.Struct, array_like=True, tag=1):
    """First frame in each direction; introduces the sender.

    Attributes:
      protocol: Version of the protocol.
      member: The sender.
      now_ms: Sender's clock.
      unpacks: Whether the sender can read `Packed`.
      age_ms: Time since the sender's start; negative when not given.
      fetches: Whether the sender fetches a configuration that it lacks, and
        answers `Fetch`.
      relays: Whether the sender can relay statuses, and reads `Digest`.
    """

    protocol: int
    member: Member
    now_ms: bounds.Finite
    unpacks: bool = False
    age_ms: bounds.Finite = -1.0
    fetches: bool = False
    relays: bool = False


class Status(msgspec.Struct, array_like=True, tag=2):
    """Periodic report of a node's state to a peer.

    Attributes:
      now_ms: Sender's clock.
      echo_ms: `now_ms` of the last status or `Hello` that the sender received.
      held_ms: Time between the receipt of that frame and this status.
      version: Configuration version that the sender serves.
      as_of_ms: When it was the newest, on the sender's clock.
      target: State of the sender's target.
      counts: Requests admitted since the sender's start, by workspace; only
        those that have changed.
      left: Id and start time of the receiver's target, if it was reported to
        the sender as leaving.
      evacuations: Evacuated failure domains; None if the receiver was sent the
        same ones before.
      sequence: Number of changes of what `Row` holds, since the sender's start;
        0 from a node that does not count them.
      evidence: Evidence against requests that the receiver was not sent yet.
    """

    now_ms: bounds.Finite
    echo_ms: bounds.Finite
    held_ms: bounds.Finite
    version: bounds.Ordinal
    as_of_ms: bounds.Moment
    target: TargetState
    counts: dict[str, bounds.Integer]
    left: tuple[bounds.Identifier, bounds.UnixMs] | None = None
    evacuations: Evacuations | None = None
    sequence: bounds.Ordinal = 0
    evidence: tuple[Evidence, ...] = ()


class Config(msgspec.Struct, array_like=True, tag=3):
    """A configuration version.

    Attributes:
      version: Its number.
      as_of_ms: When it was the newest, on the sender's clock.
      document: The configuration as the store holds it.
      evacuations: Evacuated failure domains; None from a node of a release
        that does not know them.
    """

    version: bounds.Ordinal
    as_of_ms: bounds.Moment
    document: bytes
    evacuations: Evacuations | None = None


class Open(msgspec.Struct, array_like=True, tag=4):
    """A request for the receiver's target.

    Attributes:
      call: Number of the call on this stream.
      sent_ms: Sender's clock when it was sent.
      left_ms: Time remaining until its deadline at that moment.
      request_id: Id of the request.
      target_id: The selected target; no other one may run the request.
      priority: Priority; 0 is the highest.
      objective_ms: Latency objective.
      method: HTTP method.
      path: Path and query as received.
      head: End-to-end header lines, each ending with CR LF.
      body: First part of the body.
      more: Bytes of the body that follow in `Data`.
      from_retry: Whether it is a retry, or a call made by a retry.
      age_ms: How long its caller had waited when it was sent.
      placed_before: How many other targets it was sent to before.
      kind: Kind of request: the name of its route; empty if not given.
      workspace: Workspace that it belongs to, or that its root belongs to;
        empty if there is none or it is not known.
      weight: Weight of the workspace in fair shares; 0 if not given.
      fingerprint: Fingerprint of its content; 0 if not given.
    """

    call: bounds.Ordinal
    sent_ms: bounds.Finite
    left_ms: bounds.Finite
    request_id: str
    target_id: bounds.Name
    priority: bounds.Integer
    objective_ms: bounds.Amount
    method: bounds.Method
    path: bounds.RequestTarget
    head: bytes
    body: bytes
    more: bounds.Count
    from_retry: bool = False
    age_ms: bounds.Finite = 0.0
    placed_before: bounds.Count = 0
    kind: str = ""
    workspace: str = ""
    weight: bounds.Amount = 0
    fingerprint: Fingerprint = 0


class Data(msgspec.Struct, array_like=True, tag=5):
    """A subsequent part of a body."""

    call: bounds.Ordinal
    chunk: bytes


class Answer(msgspec.Struct, array_like=True, tag=6):
    """A target's response, or the first part of a long one.

    Attributes:
      call: Number of the call.
      status: HTTP status.
      head: Header lines.
      body: First part of the body.
      more: Bytes of the body that follow in `Data`.
      busy: Requests running or queued at the target.
      limit: Concurrency limit of the target.
    """

    call: bounds.Ordinal
    status: bounds.Count
    head: bytes
    body: bytes
    more: bounds.Count
    busy: bounds.Integer
    limit: bounds.Count


class Refuse(msgspec.Struct, array_like=True, tag=7):
    """Refusal of a request: it did not run and will not.

    Attributes:
      call: Number of the call.
      code: Error code that gives the reason.
      at_target: Whether the target itself refused it.
      retry_after_ms: Time after which a retry may succeed.
      busy: Requests running or queued at the target.
      limit: Concurrency limit of the target.
    """

    call: bounds.Ordinal
    code: str
    at_target: bool
    retry_after_ms: bounds.Amount
    busy: bounds.Integer
    limit: bounds.Count


class Lost(msgspec.Struct, array_like=True, tag=8):
    """Loss of a response: the request may have run.

    Attributes:
      call: Number of the call.
      code: Error code that gives the reason.
      busy: Requests running or queued at the target.
      limit: Concurrency limit of the target.
      end_number: Number of the end of the target, if it has ended; else 0.
    """

    call: bounds.Ordinal
    code: str
    busy: bounds.Integer
    limit: bounds.Count
    end_number: bounds.Ordinal = 0


class Cancel(msgspec.Struct, array_like=True, tag=9):
    """Cancels a call: its response is no longer needed."""

    call: bounds.Ordinal


class Counts(msgspec.Struct, array_like=True, tag=10):
    """Admission counts that are sent between two statuses.

    Attributes:
      counts: Requests admitted since the sender's start, by workspace; all that
        have changed since the last status or `Counts` on the stream if
        `sequence` is given, else only expedited workspaces.
      sequence: As in `Status`.
    """

    counts: dict[str, bounds.Integer]
    sequence: bounds.Ordinal = 0


class Packed(msgspec.Struct, array_like=True, tag=11):
    """Complete frames, compressed as the next part of the sender's sequence."""

    data: bytes


class Leave(msgspec.Struct, array_like=True, tag=12):
    """Leave message: the sender's process ends and admits no more requests."""


class Fetch(msgspec.Struct, array_like=True, tag=13):
    """Requests the receiver's configuration."""


class Row(msgspec.Struct, array_like=True):
    """What a relay knows of one process.

    Attributes:
      member: The node.
      age_ms: Time since the start of its process; infinite while unknown.
      version: Configuration version that it serves.
      proof_age_ms: Time since that version was known to be the newest.
      target: State of its target.
      counts: Requests admitted since its start, by workspace; only those that
        have changed since its last row on this stream.
      sequence: `sequence` of the status that this is taken from.
      complete: Whether this is its first row on this stream, with all counts.
      relays: Whether it can relay statuses; one that cannot is told directly.
      ended: Whether it has sent a leave message.
      removed: Whether the relay no longer knows the process; the fields from
        `age_ms` to `counts` are then without meaning.
    """

    member: Member
    age_ms: bounds.Age
    version: bounds.Ordinal
    proof_age_ms: bounds.Age
    target: TargetState
    counts: dict[str, bounds.Integer]
    sequence: bounds.Ordinal = 0
    complete: bool = False
    relays: bool = True
    ended: bool = False
    removed: bool = False


class Digest(msgspec.Struct, array_like=True, tag=14):
    """What a relay knows of one failure domain.

    Attributes:
      now_ms: Sender's clock.
      domain: The failure domain.
      age_ms: Age of the oldest evidence that one of its processes is live;
        without those in `silent`.
      rows: Processes that have changed since the last digest on this stream.
      silent: Processes of which the sender knows no recent evidence.
      heard_ms: Time since a relay of the failure domain sent what this digest
        is taken from; 0 if the sender is in it.
      urgent: Whether it is to be forwarded before the next regular digest.
      nodes: Nodes that the sender knows, itself included.
    """

    now_ms: bounds.Finite
    domain: str
    age_ms: bounds.Finite
    rows: list[Row]
    silent: tuple[str, ...] = ()
    heard_ms: bounds.Finite = 0.0
    urgent: bool = False
    nodes: bounds.Count = 0


Frame = (
    Hello
    | Status
    | Config
    | Open
    | Data
    | Answer
    | Refuse
    | Lost
    | Cancel
    | Counts
    | Packed
    | Leave
    | Fetch
    | Digest
)

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def invalid(detail: str) -> errors.StreamError:
    """Returns the error for bytes that are not a valid frame."""
    return errors.StreamError(errors.Code.FRAME_INVALID, detail)


def decode_frame(data: memoryview) -> Frame:
    """Decodes one message.

    Raises:
      errors.StreamError: The bytes are not a valid frame.
    """
    try:
        return DECODER.decode(data)
    except decoding.ERRORS as error:
        raise invalid(str(error)) from error


def first_chunk(body: bytes) -> tuple[bytes, int]:
    """Returns the first chunk of a body, and how many bytes follow it."""
    return body[:CHUNK_BYTES], max(0, len(body) - CHUNK_BYTES)


def send_rest(call: int, body: bytes, send: Callable[[Frame], None]) -> None:
    """Sends the chunks of a body after the first one as `Data` frames."""
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        send(Data(call, body[start : start + CHUNK_BYTES]))
