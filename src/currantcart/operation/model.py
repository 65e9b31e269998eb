"""What is stored of an operation, and what follows from it. Pure."""

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
    """Where an operation stands.

    `FREE` is a claim that was given back: the call certainly did not run.
    """

    CLAIMED = "claimed"
    DONE = "done"
    FREE = "free"


class StoredText(settings_model.StrictModel):
    """An operation as the store keeps it."""

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
      key: Where the store keeps it.
      fingerprint: Digest of workspace, method, path and body.
      claim_id: Id of the call that wants to run it.
    """

    key: str
    fingerprint: str
    claim_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class FirstAnswer:
    """The answer that an operation's run gave.

    Attributes:
      status: HTTP status.
      content_type: Its content type.
      body: Whole body; None when it was too large to keep.
    """

    status: int
    content_type: str
    body: bytes | None


class Step(enum.Enum):
    """What a call may do about its operation."""

    CLAIM = "claim"
    RUN = "run"
    REPLAY = "replay"


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What follows from what the store holds."""

    step: Step
    answer: FirstAnswer | None = None


def digest(*parts: bytes) -> str:
    """Returns a digest in which no two lists of parts look alike."""
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
    """Returns the operation that a request asks for.

    The workspace is part of the fingerprint and not of the key: the same key
    from another workspace is refused, and never runs a second time.
    """
    name = digest(service.encode(), idempotency_key.encode())
    fingerprint = digest(
        workspace.encode(), method.encode(), path.encode(), body
    )
    return Operation(STORE_PREFIX + name, fingerprint, claim_id)


def encode(stored: StoredText) -> bytes:
    """Returns the bytes of a stored operation."""
    return stored.model_dump_json(exclude_defaults=True).encode()


def decode(value: bytes) -> StoredText:
    """Reads a stored operation.

    Raises:
      errors.Refusal: It cannot be read, so nothing about it is known.
    """
    try:
        return StoredText.model_validate(json.loads(value))
    except ValueError as error:
        raise unknown("its record cannot be read") from error


def claimed(operation: Operation) -> StoredText:
    """Returns the record of a claim."""
    return StoredText(
        state=State.CLAIMED,
        claim_id=operation.claim_id,
        fingerprint=operation.fingerprint,
    )


def freed(operation: Operation) -> StoredText:
    """Returns the record of a claim that was given back."""
    return claimed(operation).model_copy(update={"state": State.FREE})


def done(operation: Operation, answer: FirstAnswer) -> StoredText:
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
    """Returns the refusal of a repeat whose first call has no known end."""
    return errors.Refusal(
        errors.Code.OUTCOME_UNKNOWN,
        errors.Step.OPERATION,
        f"the operation was begun before: {detail}",
        not_run=False,
        retry_after_ms=RETRY_AFTER_MS,
    )


def judge(stored: StoredText | None, operation: Operation) -> Verdict:
    """Decides what a call may do, given what the store holds.

    Raises:
      errors.Refusal: The operation must not run, and no answer is kept.
    """
    if stored is None or stored.state is State.FREE:
        return Verdict(Step.CLAIM)
    if stored.claim_id == operation.claim_id:
        return Verdict(Step.RUN)
    if stored.fingerprint != operation.fingerprint:
        raise errors.Refusal(
            errors.Code.IDEMPOTENCY_KEY_REUSED,
            errors.Step.OPERATION,
            "the idempotency key came before with another request",
            not_run=False,
        )
    if stored.state is State.CLAIMED:
        raise unknown("its end is not known (yet)")
    if stored.body is None:
        raise errors.Refusal(
            errors.Code.ALREADY_RUN,
            errors.Step.OPERATION,
            f"the operation ran with status {stored.status}; "
            "its answer is not kept",
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
