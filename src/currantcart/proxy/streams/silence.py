"""Which part of the fleet may be behind a cut.

Until that is noticed both sides of a cut use a workspace's whole rate. The
slower a large fleet tells its statuses, the later a single peer is missed; a
failure domain of which nobody is heard is therefore asked at once, and counts
as silent when nobody answers.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link
from currantcart.proxy.streams import peer as peer_module

LATE_PACES = 0.6
LATE_MS = 150.0
"""Silence after which a failure domain is asked, and a peer at the least."""
ANSWER_TICKS = 3
"""Ticks without an answer; a node that was held up itself reads in between."""
ASKED_PEERS = 3


def late_ms(pace_ms: float) -> float:
    """Returns the silence after which a single peer is asked."""
    return max(LATE_MS, LATE_PACES * pace_ms)


@dataclasses.dataclass(slots=True)
class Asked:
    """A peer or a failure domain, as long as it may have to be asked.

    Attributes:
      ticks: Ticks since it was asked; 0 while it need not be.
    """

    ticks: int = 0

    @property
    def is_silent(self) -> bool:
        """Whether nobody has answered."""
        return self.ticks > ANSWER_TICKS

    def tick(self, *, late: bool, asking: bool) -> bool:
        """Takes a moment's passing; returns whether to ask now."""
        if not late:
            self.ticks = 0
        elif self.ticks:
            self.ticks += 1
        elif asking:
            self.ticks = 1
            return True
        return False


class Silence:
    """Notices which peers are not heard.

    Attributes:
      domains: Failure domains, while somebody is or may be asked.
      processes: The same of each peer that has told its status.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        peers: Callable[[], Iterable[peer_module.Peer]],
        status: Callable[[link.Link], frames.Status],
    ) -> None:
        """Sets it up.

        Args:
          context: What the parts of the node share.
          peers: Returns all peers.
          status: Returns the status for a stream.
        """
        self.context = context
        self.peers = peers
        self.status = status
        self.domains: dict[str, Asked] = {}
        self.processes: dict[str, Asked] = {}

    def living(self) -> list[peer_module.Peer]:
        """Returns the peers that have not announced their end.

        One that has is gone and not silent; its part of every workspace's
        rate is free at once.
        """
        return [peer for peer in self.peers() if not peer.ended]

    def tick(self, *, asking: bool) -> None:
        """Takes a moment's passing.

        Args:
          asking: Whether those who are not heard are to be asked.
        """
        if not asking and not self.domains:
            return
        now, limit = self.context.now, late_ms(self.context.pace_ms)
        domains: dict[str, list[peer_module.Peer]] = {}
        processes: dict[str, Asked] = {}
        for peer in self.living():
            if not peer.has_told:
                continue
            domains.setdefault(peer.member.failure_domain, []).append(peer)
            name = peer.member.process
            asked = processes[name] = self.processes.get(name) or Asked()
            if asked.tick(late=now - peer.heard_at > limit, asking=asking):
                self.ask([peer])
        self.processes = processes
        self.domains = {
            name: self.domains.get(name) or Asked() for name in domains
        }
        for name, peers in domains.items():
            silence = now - max(peer.heard_at for peer in peers)
            late = silence > LATE_MS
            if self.domains[name].tick(late=late, asking=asking):
                self.ask(peers)
        if not asking and not self.is_anyone_asked():
            self.domains, self.processes = {}, {}

    def is_anyone_asked(self) -> bool:
        """Tells whether an answer is waited for."""
        waiting = (*self.domains.values(), *self.processes.values())
        return any(asked.ticks for asked in waiting)

    def ask(self, peers: Iterable[peer_module.Peer]) -> None:
        """Asks a few peers for a sign of life."""
        streams = [peer.outgoing for peer in peers if peer.outgoing]
        ready = [item for item in streams if item.peer]
        for item in self.context.rng.sample(
            ready, min(ASKED_PEERS, len(ready))
        ):
            item.send_status(self.status(item))

    def share(self) -> float:
        """Returns the part of the fleet that is not heard, 0 to 1."""
        living = self.living()
        oldest = self.context.now - link.suspect_ms(self.context.pace_ms)
        silent = sum(
            peer.heard_at < oldest or self.owes_answer(peer) for peer in living
        )
        return silent / (len(living) + 1)

    def owes_answer(self, peer: peer_module.Peer) -> bool:
        """Tells whether a peer, or its whole domain, has not answered."""
        if not self.domains:
            return False
        domain = self.domains.get(peer.member.failure_domain)
        process = self.processes.get(peer.member.process)
        return any(asked and asked.is_silent for asked in (domain, process))
