"""Workspaces and keys as the decisions see them."""

from __future__ import annotations

import dataclasses
import hashlib
import secrets

from currantcart.graph import model as graph_model

KEY_PREFIX = "cck_"
KEY_BYTES = 24


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """One tenant.

    Attributes:
      name: Its name.
      rate: Root calls a second over the whole fleet.
      burst: Root calls that may come at once.
      importance: Orders workspaces whose routes are equally important.
    """

    name: str
    rate: float
    burst: float
    importance: graph_model.Importance = graph_model.Importance.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class Key:
    """One key of a workspace; the key itself is kept nowhere.

    Attributes:
      key_id: Public name of the key.
      digest: SHA-256 of the key, in hexadecimal.
      workspace: Owner.
    """

    key_id: str
    digest: str
    workspace: str


def digest_of(key: str) -> str:
    """Returns the digest under which a key is looked up.

    Keys carry 192 random bits, so a plain hash cannot be searched backwards
    and no slow password hash is needed on each call.
    """
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()


def new_key() -> str:
    """Returns a fresh random key."""
    return KEY_PREFIX + secrets.token_urlsafe(KEY_BYTES)
