"""The configuration document, stored as a single value.

Services, workspaces, keys and the edit history are written together by one
compare-and-swap, so that all changes have one total order: the revision.
"""

from __future__ import annotations

import json
from typing import Annotated, Any

import pydantic

from currantcart import errors
from currantcart.graph import document as graph_document
from currantcart.settings import model as settings_model
from currantcart.settings import validation

STORE_KEY = "currantcart/config"
DOCUMENT_BYTES_MAX = 1_000_000
HISTORY_MAX = 200
RATE_MAX = 1_000_000


class WorkspaceText(settings_model.StrictModel):
    """A workspace in the document."""

    rate: Annotated[float, pydantic.Field(ge=0, le=RATE_MAX)]
    burst: Annotated[float, pydantic.Field(ge=0, le=RATE_MAX)]
    importance: graph_document.ImportanceName = "normal"


class KeyText(settings_model.StrictModel):
    """An API key in the document; only its digest is stored."""

    digest: Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
    ]
    workspace: settings_model.Name


class EditRecord(settings_model.StrictModel):
    """One accepted edit.

    Attributes:
      edit_id: Random id; finds the edit in the history if the store's answer
        to the write was lost.
      revision: Revision that the edit created.
      author: Operator who made the edit.
      wall_ms: Wall-clock time of the edit, in milliseconds since 1970.
      summary: One line for operators.
      before: Previous values of the changed parts, for undo.
    """

    edit_id: str
    revision: int
    author: str
    wall_ms: float
    summary: str
    before: dict[str, Any] = {}


class Document(settings_model.StrictModel):
    """The complete configuration.

    Attributes:
      revision: 1 for the first document; each accepted edit adds one.
      services: Content of the services text.
      workspaces: Workspaces by name.
      keys: API keys by key id.
      evacuated: Failure domains whose targets get no calls, sorted.
      history: Most recent edits, oldest first.
    """

    revision: int = 0
    services: graph_document.ServicesText = graph_document.ServicesText(
        services={}
    )
    workspaces: dict[settings_model.Name, WorkspaceText] = {}
    keys: dict[str, KeyText] = {}
    evacuated: list[settings_model.Name] = []
    history: list[EditRecord] = []


def encode(document: Document) -> bytes:
    """Returns the bytes that are stored and sent to peers.

    Raises:
      errors.CurrantcartError: The document exceeds the size limit of a
        stored value.
    """
    text = document.model_dump_json(exclude_defaults=True).encode()
    if len(text) > DOCUMENT_BYTES_MAX:
        raise errors.CurrantcartError(
            errors.Code.EDIT_INVALID,
            errors.Step.CONFIG,
            f"configuration: found {len(text)} bytes, "
            f"allowed: {DOCUMENT_BYTES_MAX}",
        )
    return text


def decode(text: bytes) -> Document:
    """Decodes a document that was stored or sent by a peer.

    Raises:
      errors.SettingsError: The bytes are not a valid document.
    """
    code = errors.Code.EDIT_INVALID
    try:
        values = json.loads(text)
    except ValueError as error:
        raise errors.SettingsError(
            f"configuration: {error}", code=code
        ) from error
    if not isinstance(values, dict):
        raise errors.SettingsError(
            "configuration: not a JSON object", code=code
        )
    return validation.validate(
        Document, values, source="configuration", code=code
    )
