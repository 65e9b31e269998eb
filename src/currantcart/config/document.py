"""The configuration document, as one value of the store.

Services, workspaces, keys and the history of edits are one value under one
compare-and-swap, so all of it has one order: its revision.
"""

from __future__ import annotations

import json
from typing import Annotated, Any

import pydantic

from currantcart import errors
from currantcart.graph import document as graph_document
from currantcart.settings import jsonc
from currantcart.settings import model as settings_model

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
    """A key in the document; only its digest is kept."""

    digest: Annotated[
        str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
    ]
    workspace: settings_model.Name


class EditRecord(settings_model.StrictModel):
    """One accepted change.

    Attributes:
      edit_id: Random id by which the author finds it after a lost answer.
      revision: Revision that it made.
      author: Who made it.
      wall_ms: When.
      summary: One line for people.
      before: The changed parts as they were, for undoing.
    """

    edit_id: str
    revision: int
    author: str
    wall_ms: float
    summary: str
    before: dict[str, Any] = {}


class Document(settings_model.StrictModel):
    """The whole configuration.

    Attributes:
      revision: 1 for the first document; each accepted edit adds one.
      services: The services text's content.
      workspaces: By name.
      keys: By key id.
      history: Latest edits, oldest first.
    """

    revision: int = 0
    services: graph_document.ServicesText = graph_document.ServicesText(
        services={}
    )
    workspaces: dict[settings_model.Name, WorkspaceText] = {}
    keys: dict[str, KeyText] = {}
    history: list[EditRecord] = []


def encode(document: Document) -> bytes:
    """Returns the bytes that are stored and spread.

    Raises:
      errors.CurrantcartError: It is larger than the store takes.
    """
    text = document.model_dump_json(exclude_defaults=True).encode()
    if len(text) > DOCUMENT_BYTES_MAX:
        raise errors.CurrantcartError(
            errors.Code.EDIT_INVALID,
            errors.Step.CONFIG,
            f"the configuration has {len(text)} bytes, "
            f"allowed: {DOCUMENT_BYTES_MAX}",
        )
    return text


def decode(text: bytes) -> Document:
    """Reads stored or spread bytes.

    Raises:
      errors.SettingsError: They are no valid document.
    """
    code = errors.Code.EDIT_INVALID
    try:
        values = json.loads(text)
    except ValueError as error:
        raise errors.SettingsError(
            f"configuration: {error}", code=code
        ) from error
    if not isinstance(values, dict):
        raise errors.SettingsError("configuration: no object", code=code)
    return jsonc.validate(Document, values, source="configuration", code=code)
