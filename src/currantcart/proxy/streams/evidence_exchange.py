"""Exchange of the evidence against requests between nodes.

It travels in statuses: each stream gets what has changed since its last one,
and a new stream gets all, so a node that starts anew has it from its peers. A
node that has seen an end itself publishes its status at once, and relays do so
with all that is new to them.
"""

from __future__ import annotations

import math

from currantcart.call import quarantine
from currantcart.proxy import context as proxy_context
from currantcart.proxy import evidence
from currantcart.proxy.streams import frames, link


class EvidenceExchange:
    """Sends and applies the evidence of one node.

    Attributes:
      known: What this node knows.
      published: Sequence number of `known` up to which all peers were told.
    """

    def __init__(self, context: proxy_context.Context) -> None:
        self.context = context
        self.known = context.quarantine
        self.published = 0

    def is_due(self, *, relaying: bool) -> bool:
        """Returns whether all peers are to be told now, and counts that.

        Args:
          relaying: Whether this node relays what others have seen.
        """
        newest = self.known.sequence if relaying else self.known.own_sequence
        if newest <= self.published:
            return False
        self.published = self.known.sequence
        return True

    def unsent(self, item: link.Link) -> tuple[frames.Evidence, ...]:
        """Returns what a peer lacks, and records it as sent."""
        since, item.sent_evidence = item.sent_evidence, self.known.sequence
        now = self.context.now
        return tuple(
            frames.Evidence(
                fingerprint,
                tuple(
                    (end.target_id, end.number, math.floor(now - end.at))
                    for end in record.confirmed
                ),
                tuple(record.cleared),
            )
            for fingerprint, record in self.known.changed_since(since)
        )

    def handle(self, item: link.Link, received: frames.Status) -> None:
        """Applies what a peer has sent.

        A report of a target that is ready shows that it lives, whatever became
        of the stream to its node meanwhile.
        """
        source = item.peer.instance if item.peer else ""
        for shown in received.evidence:
            self.apply(shown, source)
        if received.target.ready:
            self.known.clear_assumed(received.target.target_id)

    def apply(self, shown: frames.Evidence, source: str) -> None:
        """Applies the evidence against one request.

        Args:
          shown: The evidence.
          source: Instance that sent it.
        """
        now = self.context.now
        if shown.cleared:
            evidence.clear(
                self.context,
                shown.fingerprint,
                keys=list(shown.cleared),
                cause=source,
            )
        for target_id, number, age_ms in shown.ends:
            if (target_id, number) in shown.cleared:
                continue
            evidence.record_end(
                self.context,
                shown.fingerprint,
                quarantine.End(target_id, number, now - age_ms),
                source=source,
            )
