"""The configuration in force at one node."""

from __future__ import annotations

import dataclasses

from currantcart import errors
from currantcart.config import document
from currantcart.graph import document as graph_document
from currantcart.graph import model as graph_model
from currantcart.workspace import model as workspace_model


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A document, prepared for decisions.

    Attributes:
      revision: Its revision.
      graph: Services.
      workspaces: By name.
      keys_by_digest: Keys as callers show them.
      key_ids: Keys that are in force.
      text: The document's bytes, for peers that ask.
    """

    revision: int
    graph: graph_model.Graph
    workspaces: dict[str, workspace_model.Workspace]
    keys_by_digest: dict[str, workspace_model.Key]
    key_ids: frozenset[str]
    text: bytes


def build(parsed: document.Document, text: bytes) -> View:
    """Prepares a document."""
    workspaces = {
        name: workspace_model.Workspace(
            name=name,
            rate=entry.rate,
            burst=entry.burst,
            importance=graph_document.importance_of(entry.importance),
        )
        for name, entry in parsed.workspaces.items()
    }
    keys = {
        key.digest: workspace_model.Key(
            key_id=key_id, digest=key.digest, workspace=key.workspace
        )
        for key_id, key in parsed.keys.items()
        if key.workspace in workspaces
    }
    return View(
        revision=parsed.revision,
        graph=graph_document.build_graph(parsed.services),
        workspaces=workspaces,
        keys_by_digest=keys,
        key_ids=frozenset(key.key_id for key in keys.values()),
        text=text,
    )


class ConfigState:
    """The highest revision that this node has seen; it never goes back.

    Attributes:
      view: What is in force; None until a first document arrives.
    """

    def __init__(self) -> None:
        self.view: View | None = None

    @property
    def revision(self) -> int:
        """Revision in force; 0 without one."""
        return self.view.revision if self.view else 0

    def offer(self, text: bytes) -> bool:
        """Takes a document from the store or a peer.

        A stale peer, a restarted store or a late message may bring an older
        one; taking it would bring a withdrawn key back to life.

        Returns:
          Whether it is now in force.

        Raises:
          errors.SettingsError: It does not validate.
        """
        parsed = document.decode(text)
        if parsed.revision <= self.revision:
            return False
        self.view = build(parsed, text)
        return True

    def require(self) -> View:
        """Returns what is in force.

        Raises:
          errors.Refusal: There is nothing yet.
        """
        if self.view is None:
            raise errors.Refusal(
                errors.Code.NOT_READY,
                errors.Step.CONFIG,
                "this node has no configuration yet",
                not_run=True,
                retry_after_ms=1_000.0,
            )
        return self.view
