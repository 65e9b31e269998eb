"""Messages between two nodes, and their framing on a stream.

A frame is four bytes of length and one msgpack array whose first element
tells its kind. Frames that are written in one turn of the loop leave in one
system call.
"""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterator

import msgspec

from currantcart import errors
from currantcart.proxy.streams import compression

FRAME_BYTES_MAX = 4 * 1024 * 1024
PACKED_BYTES_MAX = 32 * 1024
"""Most bytes of frames that are compressed together.

More than that in one turn are long bodies, which take time and gain little.
"""
CHUNK_BYTES = 64 * 1024
LENGTH = struct.Struct(">I")


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A node as it tells of itself.

    Attributes:
      instance: Name of its instance.
      process: Id of the process; new with each start.
      address: Where it takes streams of peers, as IP:PORT.
      service: Service of the target beside it.
      failure_domain: Where it runs.
    """

    instance: str
    process: str
    address: str
    service: str
    failure_domain: str


class TargetState(msgspec.Struct, array_like=True):
    """The target beside a node.

    Attributes:
      target_id: Its id; empty while none is known.
      ready: Whether it takes requests.
      leaving: Whether it said that it leaves.
      born: Start of its incarnation, in milliseconds since 1970.
      limit: Requests that run at once.
      busy: Requests that run or wait.
      cold_ms: How much longer it is slow after its start.
      pressure: How full it and the services that it calls are.
      work_ms: How long it works on a request; 0 while that isn't known.
    """

    target_id: str = ""
    ready: bool = False
    limit: int = 1
    busy: int = 0
    cold_ms: float = 0.0
    pressure: dict[str, float] = {}
    leaving: bool = False
    born: int = 0
    work_ms: float = 0.0


class Hello(msgspec.Struct, array_like=True, tag=1):
    """First frame of either side.

    Attributes:
      protocol: Version of these messages.
      member: The sender.
      now_ms: Sender's clock.
      unpacks: Whether the sender reads `Packed`.
      age_ms: Time since the sender's start; negative when it isn't told.
      fetches: Whether the sender asks for a configuration that it lacks, and
        answers `Fetch`.
    """

    protocol: int
    member: Member
    now_ms: float
    unpacks: bool = False
    age_ms: float = -1.0
    fetches: bool = False


class Status(msgspec.Struct, array_like=True, tag=2):
    """What a node tells a peer again and again.

    Attributes:
      now_ms: Sender's clock.
      echo_ms: `now_ms` of the last status that the sender got.
      held_ms: How long the sender has had that status.
      version: Configuration version that the sender serves.
      as_of_ms: When it was the newest, on the sender's clock.
      target: The sender's target.
      counts: Requests admitted since the sender's start, by workspace.
      left: Id and start of the receiver's target, if the sender was told
        that it leaves.
    """

    now_ms: float
    echo_ms: float
    held_ms: float
    version: int
    as_of_ms: float
    target: TargetState
    counts: dict[str, int]
    left: tuple[str, int] | None = None


class Config(msgspec.Struct, array_like=True, tag=3):
    """A configuration version, as the store holds it."""

    version: int
    as_of_ms: float
    document: bytes


class Open(msgspec.Struct, array_like=True, tag=4):
    """A request for the target beside the receiver.

    Attributes:
      call: Number of the call on this stream.
      sent_ms: Sender's clock as it was sent.
      left_ms: Time that was left then.
      request_id: Id of the request.
      target_id: The target that was chosen; no other may run it.
      priority: Rank, 0 is the most urgent.
      objective_ms: Latency objective.
      method: HTTP method.
      path: Path and query as received.
      head: End-to-end header lines, each ending with CR LF.
      body: First part of the body.
      more: Bytes of the body that follow in `Data`.
      repeated: Whether this run, or one above it, is a further one.
      age_ms: How long its caller had waited as it was sent.
    """

    call: int
    sent_ms: float
    left_ms: float
    request_id: str
    target_id: str
    priority: int
    objective_ms: float
    method: str
    path: str
    head: bytes
    body: bytes
    more: int
    repeated: bool = False
    age_ms: float = 0.0


class Data(msgspec.Struct, array_like=True, tag=5):
    """A further part of a body."""

    call: int
    chunk: bytes


class Answer(msgspec.Struct, array_like=True, tag=6):
    """A target's whole answer, or the first part of a long one."""

    call: int
    status: int
    head: bytes
    body: bytes
    more: int
    busy: int
    limit: int


class Refuse(msgspec.Struct, array_like=True, tag=7):
    """The request did not run and never will.

    Attributes:
      call: Number of the call.
      code: Why.
      at_target: Whether the target itself refused it.
      retry_after_ms: When coming back may help.
      busy: Requests at the target.
      limit: Requests that it runs at once.
    """

    call: int
    code: str
    at_target: bool
    retry_after_ms: float
    busy: int
    limit: int


class Lost(msgspec.Struct, array_like=True, tag=8):
    """The request may have run, and there is no answer."""

    call: int
    code: str
    busy: int
    limit: int


class Cancel(msgspec.Struct, array_like=True, tag=9):
    """Nobody waits for the answer any more."""

    call: int


class Counts(msgspec.Struct, array_like=True, tag=10):
    """Requests admitted since the sender's start, of expedited workspaces."""

    counts: dict[str, int]


class Packed(msgspec.Struct, array_like=True, tag=11):
    """Whole frames in the sender's compressed sequence."""

    data: bytes


class Leave(msgspec.Struct, array_like=True, tag=12):
    """The sender's process ends: it admits no request any more."""


class Fetch(msgspec.Struct, array_like=True, tag=13):
    """Asks for the receiver's configuration."""


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
)

ENCODER = msgspec.msgpack.Encoder()
DECODER: msgspec.msgpack.Decoder[Frame] = msgspec.msgpack.Decoder(Frame)


def invalid(detail: str) -> errors.StreamError:
    """Returns the error for bytes that are no frame."""
    return errors.StreamError(errors.Code.FRAME_INVALID, detail)


def encoded(frame: Frame) -> bytes:
    """Returns one frame as it goes over the wire."""
    writer = FrameWriter()
    writer.add(frame)
    return writer.take()


class FrameWriter:
    """Gathers the frames of one turn of the loop.

    Attributes:
      buffer: Frames that were not written yet.
      compressor: Compresses them; None while the other side can't read that, or
        nothing is gained by it.
    """

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.compressor: compression.Compressor | None = None

    def add(self, frame: Frame) -> None:
        """Adds a frame."""
        start = len(self.buffer)
        self.buffer += b"\0\0\0\0"
        ENCODER.encode_into(frame, self.buffer, -1)
        LENGTH.pack_into(self.buffer, start, len(self.buffer) - start - 4)

    def take(self) -> bytes:
        """Returns the gathered frames and starts anew."""
        gathered = bytes(self.buffer)
        self.buffer.clear()
        return gathered

    def take_packed(self) -> bytes:
        """Returns the gathered frames, compressed where that was agreed."""
        gathered = self.take()
        if self.compressor is None or len(gathered) > PACKED_BYTES_MAX:
            return gathered
        return encoded(Packed(self.compressor.pack(gathered)))


class FrameReader:
    """Cuts a stream of bytes into frames.

    Attributes:
      rest: Bytes of a frame that isn't whole yet.
      decompressor: Restores what was compressed; None before the first.
    """

    def __init__(self) -> None:
        self.rest = b""
        self.decompressor: compression.Decompressor | None = None

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames that are complete.

        Raises:
          errors.StreamError: The bytes are no frames.
        """
        for frame in self.cut(data):
            if isinstance(frame, Packed):
                yield from self.unpack(frame)
            else:
                yield frame

    def cut(self, data: bytes) -> Iterator[Frame]:
        """Yields the frames as they were sent, and keeps the rest."""
        if self.rest:
            data = self.rest + data
        start, size = 0, len(data)
        while size - start >= LENGTH.size:
            length = LENGTH.unpack_from(data, start)[0]
            if length > FRAME_BYTES_MAX:
                raise errors.StreamError(
                    errors.Code.FRAME_TOO_LARGE, f"a frame of {length} bytes"
                )
            end = start + LENGTH.size + length
            if end > size:
                break
            frame = decoded(memoryview(data)[start + LENGTH.size : end])
            start = end
            yield frame
        self.rest = data[start:] if start else data

    def unpack(self, packed: Packed) -> Iterator[Frame]:
        """Yields the frames of a compressed part; they come whole."""
        if self.decompressor is None:
            self.decompressor = compression.Decompressor()
        inner = FrameReader()
        data = self.decompressor.unpack(packed.data, bytes_max=PACKED_BYTES_MAX)
        for frame in inner.cut(data):
            if isinstance(frame, Packed):
                raise invalid("a packed frame within another")
            yield frame
        if inner.rest:
            raise invalid("a packed frame that ends early")


def decoded(data: memoryview) -> Frame:
    """Reads one frame without its length.

    Raises:
      errors.StreamError: It is none.
    """
    try:
        return DECODER.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise invalid(str(error)) from error


def first_chunk(body: bytes) -> tuple[bytes, int]:
    """Returns the part of a body that opens it, and how many bytes follow."""
    return body[:CHUNK_BYTES], max(0, len(body) - CHUNK_BYTES)


def send_rest(call: int, body: bytes, send: Callable[[Frame], None]) -> None:
    """Sends what follows the first chunk of a body."""
    for start in range(CHUNK_BYTES, len(body), CHUNK_BYTES):
        send(Data(call, body[start : start + CHUNK_BYTES]))
