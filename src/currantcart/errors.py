"""Errors with a code, the step at which they occurred and the peer involved."""

from __future__ import annotations

import enum


class Code(enum.StrEnum):
    """Stable error codes; docs/reference/errors.md documents them."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_INCOMPLETE = "body_incomplete"
    UNKNOWN_SERVICE = "unknown_service"
    KEY_MISSING = "key_missing"
    KEY_UNKNOWN = "key_unknown"
    CONTEXT_INVALID = "context_invalid"
    NOT_A_DEPENDENCY = "not_a_dependency"
    TOO_DEEP = "too_deep"
    DEADLINE_INVALID = "deadline_invalid"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    RATE_EXCEEDED = "rate_exceeded"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    DRAINING = "draining"
    NOT_READY = "not_ready"
    TARGET_UNREACHABLE = "target_unreachable"
    TARGET_FAILED = "target_failed"
    PEER_UNREACHABLE = "peer_unreachable"
    PEER_LOST = "peer_lost"
    ANSWER_ABORTED = "answer_aborted"
    CANCELLED = "cancelled"
    IDEMPOTENCY_KEY_INVALID = "idempotency_key_invalid"
    IDEMPOTENCY_KEY_REUSED = "idempotency_key_reused"
    ALREADY_RUN = "already_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    FRAME_INVALID = "frame_invalid"
    FRAME_TOO_LARGE = "frame_too_large"
    HANDSHAKE_FAILED = "handshake_failed"
    VERSION_UNSUPPORTED = "version_unsupported"
    FLOW_VIOLATION = "flow_violation"
    SETTINGS_INVALID = "settings_invalid"
    SERVICES_INVALID = "services_invalid"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_OUTCOME_UNKNOWN = "store_outcome_unknown"
    STORE_HISTORY_LOST = "store_history_lost"
    STORE_REVERTED = "store_reverted"
    EDIT_CONFLICT = "edit_conflict"
    EDIT_INVALID = "edit_invalid"
    NOT_FOUND = "not_found"
    INTERNAL = "internal"

    @classmethod
    def of(cls, text: str) -> Code:
        """Returns the code with a given value, or `INTERNAL` if it is unknown.

        A peer of a newer version may send codes that this version lacks.
        """
        return cls(text) if text in cls._value2member_map_ else cls.INTERNAL


class Step(enum.StrEnum):
    """Steps of a call or an operation at which an error can occur."""

    PARSE = "parse"
    AUTHENTICATE = "authenticate"
    RATE = "rate"
    GRAPH = "graph"
    DEADLINE = "deadline"
    OPERATION = "operation"
    ROUTE = "route"
    CONNECT = "connect"
    HANDSHAKE = "handshake"
    ADMIT = "admit"
    DISPATCH = "dispatch"
    RELAY = "relay"
    WIRE = "wire"
    STORE = "store"
    CONFIG = "config"
    SETTINGS = "settings"
    COMMAND = "command"

    @classmethod
    def of(cls, text: str) -> Step:
        """Returns the step with a given value, or `WIRE` if it is unknown."""
        return cls(text) if text in cls._value2member_map_ else cls.WIRE


HTTP_STATUS: dict[Code, int] = {
    Code.BAD_REQUEST: 400,
    Code.HEADERS_TOO_LARGE: 431,
    Code.BODY_INCOMPLETE: 400,
    Code.UNKNOWN_SERVICE: 404,
    Code.KEY_MISSING: 401,
    Code.KEY_UNKNOWN: 401,
    Code.CONTEXT_INVALID: 401,
    Code.NOT_A_DEPENDENCY: 403,
    Code.TOO_DEEP: 403,
    Code.DEADLINE_INVALID: 400,
    Code.DEADLINE_EXCEEDED: 504,
    Code.RATE_EXCEEDED: 429,
    Code.OVERLOADED: 503,
    Code.NO_TARGET: 503,
    Code.DRAINING: 503,
    Code.NOT_READY: 503,
    Code.TARGET_UNREACHABLE: 502,
    Code.TARGET_FAILED: 502,
    Code.PEER_UNREACHABLE: 502,
    Code.PEER_LOST: 502,
    Code.ANSWER_ABORTED: 502,
    Code.CANCELLED: 499,
    Code.IDEMPOTENCY_KEY_INVALID: 400,
    Code.IDEMPOTENCY_KEY_REUSED: 422,
    Code.ALREADY_RUN: 409,
    Code.OUTCOME_UNKNOWN: 409,
    Code.STORE_UNAVAILABLE: 503,
}
DEFAULT_STATUS = 500


class CurrantcartError(Exception):
    """Base class of all expected errors.

    Attributes:
      code: Stable code of the error.
      step: Step at which the error occurred.
      peer: Instance or address involved; empty if there is none.
      detail: Description for people, in one line.
    """

    def __init__(
        self, code: Code, step: Step, detail: str, *, peer: str = ""
    ) -> None:
        super().__init__(detail)
        self.code = code
        self.step = step
        self.peer = peer
        self.detail = detail

    def __str__(self) -> str:
        """Returns the error as one line with code, step and peer."""
        peer = f" peer={self.peer}" if self.peer else ""
        return f"[{self.code}] {self.detail} (step={self.step}{peer})"


class Refusal(CurrantcartError):
    """A call that ends without an answer from a target.

    Attributes:
      not_run: True only if no byte of the call was sent to any target, or if
        the target reported that it did not run the call.
      retry_after_ms: Delay after which a retry may succeed; 0 if unknown.
      shed_level: The priority up to which the refusing instance sheds, or
        `NO_SHEDDING`.
    """

    def __init__(
        self,
        code: Code,
        step: Step,
        detail: str,
        *,
        not_run: bool,
        peer: str = "",
        retry_after_ms: float = 0.0,
        shed_level: int = -1,
    ) -> None:
        super().__init__(code, step, detail, peer=peer)
        self.not_run = not_run
        self.retry_after_ms = retry_after_ms
        self.shed_level = shed_level

    @property
    def status(self) -> int:
        """HTTP status of the response to the caller."""
        return HTTP_STATUS.get(self.code, DEFAULT_STATUS)


class SettingsError(CurrantcartError):
    """A settings file or services text is invalid."""

    def __init__(self, detail: str, *, code: Code, peer: str = "") -> None:
        super().__init__(code, Step.SETTINGS, detail, peer=peer)


class StreamError(CurrantcartError):
    """An error that ends one stream between two nodes, but no other."""

    def __init__(self, code: Code, detail: str, *, peer: str = "") -> None:
        super().__init__(code, Step.WIRE, detail, peer=peer)
