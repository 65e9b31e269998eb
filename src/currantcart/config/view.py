"""The configuration that one node applies."""

from __future__ import annotations

import dataclasses

from currantcart import errors
from currantcart.config import document
from currantcart.graph import document as graph_document
from currantcart.graph import model as graph_model
from currantcart.workspace import model as workspace_model


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """A configuration document in the form that decisions use.

    Attributes:
      revision: Revision of the document.
      graph: Service graph.
      workspaces: Workspaces by name.
      keys_by_digest: API keys by the digest of the key that a caller sends.
      key_ids: Ids of the valid keys.
      evacuated: Failure domains whose targets get no calls.
      text: Encoded document, for peers that fetch it.
    """

    revision: int
    graph: graph_model.Graph
    workspaces: dict[str, workspace_model.Workspace]
    keys_by_digest: dict[str, workspace_model.Key]
    key_ids: frozenset[str]
    evacuated: frozenset[str]
    text: bytes


def build(parsed: document.Document, text: bytes) -> View:
    """Builds the view of a document.

    Keys of workspaces that do not exist are left out.

    Args:
      parsed: Decoded document.
      text: Its encoded bytes.
    """
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
        evacuated=frozenset(parsed.evacuated),
        text=text,
    )


class ConfigState:
    """The highest revision that this node has received; never decreases.

    Attributes:
      view: Current configuration; None until the first document arrives.
    """

    def __init__(self) -> None:
        self.view: View | None = None

    @property
    def revision(self) -> int:
        """Current revision; 0 without a configuration."""
        return self.view.revision if self.view else 0

    def apply(self, text: bytes) -> bool:
        """Applies a document if it is newer than the current one.

        A stale peer, a restarted store or a late message may deliver an older
        document. Applying it would make a withdrawn key valid again.

        Args:
          text: Encoded document from the store or a peer.

        Returns:
          Whether the document was applied.

        Raises:
          errors.SettingsError: The document is not valid.
        """
        parsed = document.decode(text)
        if parsed.revision <= self.revision:
            return False
        self.view = build(parsed, text)
        return True

    def require(self) -> View:
        """Returns the current configuration.

        Raises:
          errors.Refusal: The node has no configuration yet.
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
