"""Stored state of an operation and the decisions based on it; no I/O."""

from __future__ import annotations

import base64
import dataclasses
import enum
import hashlib
import json

from currantcart import errors
from currantcart.settings import model as settings_model

STORE_PREFIX = "currantcart/operations/"
ANSWER_BYTES_MAX = 8_192
RETRY_AFTER_MS = 1_000.0


class State(enum.StrEnum):
    """State of an operation.

    `FREE` is a claim that was released: the call certainly did not run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    FREE = "free"


class Record(settings_model.StrictModel):
    """Record of an operation in the store."""

    state: State
    claim_id: str
    fingerprint: str
    status: int = 0
    content_type: str = ""
    body: str | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Operation:
    """One operation of a caller.

    Attributes:
      key: Key of its record in the store.
      fingerprint: Digest of workspace, method, path and body.
      claim_id: Id of the call that is to run it.
    """

    key: str
    fingerprint: str
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstAnswer:
    """Answer of the one run of an operation.

    Attributes:
      status: HTTP status.
      content_type: Content type of the body.
      body: Complete body; None if it was too large to store.
    """

    status: int
    content_type: str
    body: bytes | None


class Step(enum.Enum):
    """Next step of a call for its operation."""

    CLAIM = "claim"
    RUN = "run"
    REPLAY = "replay"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Decision of a call, based on the stored record."""

    step: Step
    answer: FirstAnswer | None = None


def digest(*parts: bytes) -> str:
    """Returns a digest of a list of parts.

    Each part is preceded by its length, so that different lists never give
    the same input to the hash.
    """
    hashed = hashlib.sha256()
    for part in parts:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.hexdigest()


def build(
    *,
    service: str,
    idempotency_key: str,
    workspace: str,
    method: str,
    path: str,
    body: bytes,
    claim_id: str,
) -> Operation:
    """Returns the operation of a request.

    The workspace is part of the fingerprint but not of the key: the same key
    from another workspace is refused and never runs a second time.
    """
    name = digest(service.encode(), idempotency_key.encode())
    fingerprint = digest(
        workspace.encode(), method.encode(), path.encode(), body
    )
    return Operation(STORE_PREFIX + name, fingerprint, claim_id)


def encode(stored: Record) -> bytes:
    """Encodes the record of an operation."""
    return stored.model_dump_json(exclude_defaults=True).encode()


def decode(value: bytes) -> Record:
    """Decodes the record of an operation.

    Raises:
      errors.Refusal: It cannot be decoded, so the outcome is unknown.
    """
    try:
        return Record.model_validate(json.loads(value))
    except ValueError as error:
        raise unknown("its record cannot be read") from error


def claimed(operation: Operation) -> Record:
    """Returns the record of a claim."""
    return Record(
        state=State.CLAIMED,
        claim_id=operation.claim_id,
        fingerprint=operation.fingerprint,
    )


def freed(operation: Operation) -> Record:
    """Returns the record of a claim that was released."""
    return claimed(operation).model_copy(update={"state": State.FREE})


def done(operation: Operation, answer: FirstAnswer) -> Record:
    """Returns the record of an operation that ran."""
    body = answer.body
    keep = body is not None and len(body) <= ANSWER_BYTES_MAX
    return claimed(operation).model_copy(
        update={
            "state": State.DONE,
            "status": answer.status,
            "content_type": answer.content_type,
            "body": base64.b64encode(body or b"").decode() if keep else None,
        }
    )


def unknown(detail: str) -> errors.Refusal:
    """Returns the refusal of a retry whose first call has no known outcome."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        errors.Step.OPERATION,
        f"another call started the operation before: {detail}",
        not_run=False,
        retry_after_ms=RETRY_AFTER_MS,
    )


def decide(stored: Record | None, operation: Operation) -> Verdict:
    """Decides the next step of a call, given the stored record.

    Raises:
      errors.Refusal: The operation must not run, and no answer is stored.
    """
    if stored is None or stored.state is State.FREE:
        return Verdict(Step.CLAIM)
    if stored.claim_id == operation.claim_id:
        return Verdict(Step.RUN)
    if stored.fingerprint != operation.fingerprint:
        raise errors.Refusal(
            errors.Code.IDEMPOTENCY_KEY_REUSED,
            errors.Step.OPERATION,
            "the idempotency key was used before for another request",
            not_run=False,
        )
    if stored.state is State.CLAIMED:
        raise unknown("the end of that call is not known (yet)")
    if stored.body is None:
        raise errors.Refusal(
            errors.Code.ALREADY_RUN,
            errors.Step.OPERATION,
            f"the operation ran with status {stored.status}; "
            "its answer was not stored",
            not_run=False,
        )
    return Verdict(
        Step.REPLAY,
        FirstAnswer(
            status=stored.status,
            content_type=stored.content_type,
            body=base64.b64decode(stored.body),
        ),
    )
