"""Exchange of the evacuated failure domains between nodes.

They are read from the store with the configuration, and travel in statuses: to
each peer on the first status of a stream and whenever they have changed. The
node that reads a change publishes its status at once; a node that cannot be
reached from there gets it with the next status of any other one.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from currantcart.fleet import evacuation
from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link


class EvacuationExchange:
    """Keeps one node's evacuated failure domains up to date.

    Attributes:
      known: The failure domains that this node knows as evacuated.
      on_change: Called after a change.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        on_change: Callable[[evacuation.Change], None],
    ) -> None:
        self.context = context
        self.known = context.evacuations
        self.on_change = on_change

    def adopt(
        self, domains: Iterable[str], revision: int, *, source: str
    ) -> bool:
        """Applies a state if it is newer, and logs each change.

        Args:
          domains: All evacuated failure domains.
          revision: Revision of the store as of which they are.
          source: Instance that sent it, or "store".

        Returns:
          Whether the evacuated failure domains have changed.
        """
        before = self.known.revision
        change = self.known.adopt(domains, revision)
        if change is None:
            return False
        for event, names in (
            ("domain_evacuated", change.evacuated),
            ("domain_restored", change.restored),
        ):
            for name in names:
                self.context.log.event(
                    event,
                    domain=name,
                    revision=revision,
                    before=before,
                    source=source,
                )
        self.on_change(change)
        return True

    def state(self) -> frames.Evacuations | None:
        """Returns the state as sent to peers; None before it is known."""
        if not self.known.revision:
            return None
        return frames.Evacuations(
            self.known.revision, tuple(sorted(self.known.domains))
        )

    def unsent(self, item: link.Link) -> frames.Evacuations | None:
        """Returns the state if a peer lacks it, and records it as sent."""
        state = self.state()
        if state is None or item.sent_evacuations == self.known.domains:
            return None
        item.sent_evacuations = self.known.domains
        return state

    def handle(self, item: link.Link, state: frames.Evacuations | None) -> None:
        """Applies a peer's state; one that is outdated is answered.

        A peer that has missed an evacuation and its end may hold an older
        state than this node, although this node has sent its own before.
        """
        if state is None:
            return
        if self.known.is_outdated(state.domains, state.revision):
            item.sent_evacuations = None
            return
        sender = item.peer.instance if item.peer else ""
        self.adopt(state.domains, state.revision, source=sender)
