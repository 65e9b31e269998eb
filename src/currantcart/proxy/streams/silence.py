"""Detects which part of the fleet may be behind a network partition.

Until a partition is detected, both sides of it use the full rate of a
workspace. The more slowly a large fleet sends its statuses, the later a single
silent peer is detected. A failure domain of which no peer is heard from is
therefore probed at once, and counts as silent when none of them answers.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable

from currantcart.proxy import context as proxy_context
from currantcart.proxy.streams import frames, link
from currantcart.proxy.streams import peer as peer_module

LATE_INTERVALS = 0.6
LATE_MS = 150.0
"""Silence after which a failure domain is probed; the least for one peer."""
ANSWER_TICKS = 3
"""Ticks after which a probe counts as unanswered.

In between, a node that was paused itself reads what it has received.
"""
PROBED_PEERS = 3


def late_ms(interval_ms: float) -> float:
    """Returns the silence after which a single peer is probed."""
    return max(LATE_MS, LATE_INTERVALS * interval_ms)


@dataclasses.dataclass(slots=True)
class Probe:
    """State of the probe of a peer or of a failure domain.

    Attributes:
      ticks: Ticks since the probe, counted from 1; 0 without one.
    """

    ticks: int = 0

    @property
    def has_timed_out(self) -> bool:
        """Whether the probe was not answered in time."""
        return self.ticks > ANSWER_TICKS

    def tick(self, *, late: bool, probing: bool) -> bool:
        """Counts a tick; returns whether to probe now.

        Args:
          late: Whether the peer or domain has been silent for too long.
          probing: Whether probes may be started.
        """
        if not late:
            self.ticks = 0
        elif self.ticks:
            self.ticks += 1
        elif probing:
            self.ticks = 1
            return True
        return False


class SilenceDetector:
    """Detects peers and failure domains that do not answer.

    Attributes:
      domains: Probe state by failure domain; empty while no probes are needed.
      processes: The same by process, of each peer that has sent a status.
    """

    def __init__(
        self,
        context: proxy_context.Context,
        *,
        peers: Callable[[], Iterable[peer_module.Peer]],
        status: Callable[[link.Link], frames.Status],
    ) -> None:
        """Initializes the detector.

        Args:
          context: Shared state of the node.
          peers: Returns all peers.
          status: Returns the status for a stream.
        """
        self.context = context
        self.peers = peers
        self.status = status
        self.domains: dict[str, Probe] = {}
        self.processes: dict[str, Probe] = {}

    def live_peers(self) -> list[peer_module.Peer]:
        """Returns the peers that have not sent a leave message.

        One that has sent it does not count as silent; its share of each
        workspace's rate is available at once.
        """
        return [peer for peer in self.peers() if not peer.ended]

    def tick(self, *, probing: bool) -> None:
        """Updates the state of all probes, and sends those that are due.

        Args:
          probing: Whether silent peers are to be probed.
        """
        if not probing and not self.domains:
            return
        now, limit = self.context.now, late_ms(self.context.status_interval_ms)
        domains: dict[str, list[peer_module.Peer]] = {}
        processes: dict[str, Probe] = {}
        for peer in self.live_peers():
            if not peer.has_reported:
                continue
            domains.setdefault(peer.member.failure_domain, []).append(peer)
            name = peer.member.process
            probe = processes[name] = self.processes.get(name) or Probe()
            if probe.tick(late=now - peer.received_at > limit, probing=probing):
                self.probe([peer])
        self.processes = processes
        self.domains = {
            name: self.domains.get(name) or Probe() for name in domains
        }
        for name, peers in domains.items():
            silence = now - max(peer.received_at for peer in peers)
            late = silence > LATE_MS
            if self.domains[name].tick(late=late, probing=probing):
                self.probe(peers)
        if not probing and not self.is_probing():
            self.domains, self.processes = {}, {}

    def is_probing(self) -> bool:
        """Returns whether any probe is unanswered."""
        waiting = (*self.domains.values(), *self.processes.values())
        return any(probe.ticks for probe in waiting)

    def probe(self, peers: Iterable[peer_module.Peer]) -> None:
        """Sends a probe to a few randomly selected peers."""
        streams = [peer.outgoing for peer in peers if peer.outgoing]
        ready = [item for item in streams if item.peer]
        for item in self.context.rng.sample(
            ready, min(PROBED_PEERS, len(ready))
        ):
            item.send_status(self.status(item))

    def share(self) -> float:
        """Returns the share of the fleet that is silent, 0 to 1."""
        oldest = self.context.now - link.suspect_ms(
            self.context.status_interval_ms
        )
        domains = {
            name for name, probe in self.domains.items() if probe.has_timed_out
        }
        processes = {
            name
            for name, probe in self.processes.items()
            if probe.has_timed_out
        }
        silent = count = 0
        for peer in self.peers():
            if peer.ended:
                continue
            count += 1
            member = peer.member
            silent += (
                peer.received_at < oldest
                or member.failure_domain in domains
                or member.process in processes
            )
        return silent / (count + 1)
