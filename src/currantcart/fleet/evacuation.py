"""Evacuated failure domains, whose targets must get no requests.

The operator evacuates a failure domain and restores it in the store. What a
node knows is ordered by the store's revision, so that a late message of a peer
never replaces a newer state. A removal is ordered like a request, which the
revision of a single key could not do: a removed key has none.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """Difference between two states.

    Attributes:
      evacuated: Failure domains that are evacuated now and were not before.
      restored: Failure domains that were evacuated before and are not now.
      revision: Revision of the store as of which this holds.
    """

    evacuated: tuple[str, ...]
    restored: tuple[str, ...]
    revision: int


@dataclasses.dataclass(slots=True)
class Evacuations:
    """The evacuated failure domains that a node knows.

    Attributes:
      domains: The evacuated failure domains.
      revision: Revision of the store as of which they are; 0 before the first.
    """

    domains: frozenset[str] = frozenset()
    revision: int = 0

    def adopt(self, domains: Iterable[str], revision: int) -> Change | None:
        """Applies a newer state.

        Args:
          domains: All evacuated failure domains.
          revision: Revision of the store as of which they are.

        Returns:
          What has changed; None if nothing has, or the state is not newer.
        """
        if revision <= self.revision:
            return None
        before, self.domains = self.domains, frozenset(domains)
        self.revision = revision
        if before == self.domains:
            return None
        return Change(
            tuple(sorted(self.domains - before)),
            tuple(sorted(before - self.domains)),
            revision,
        )

    def is_outdated(self, domains: Iterable[str], revision: int) -> bool:
        """Returns whether a peer's state is older than this and differs."""
        return revision < self.revision and frozenset(domains) != self.domains
