"""Workspaces and API keys, as used in admission decisions."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets

from currantcart.graph import model as graph_model

KEY_PREFIX = "cck_"
KEY_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A customer, with its own limits.

    Attributes:
      name: Name of the workspace.
      rate: Root calls per second over all nodes.
      burst: Root calls that may arrive at once.
      importance: Order among workspaces whose routes are equally important.
    """

    name: str
    rate: float
    burst: float
    importance: graph_model.Importance = graph_model.Importance.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """API key of a workspace; the key itself is not stored.

    Attributes:
      key_id: Public identifier of the key.
      digest: SHA-256 of the key, in hexadecimal.
      workspace: Workspace that the key belongs to.
    """

    key_id: str
    digest: str
    workspace: str


def digest_of(key: str) -> str:
    """Returns the digest by which a key is looked up.

    Keys have 192 random bits, so a plain hash cannot be reversed by search, and
    no slow password hash is needed on each call.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def new_key() -> str:
    """Returns a new random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
