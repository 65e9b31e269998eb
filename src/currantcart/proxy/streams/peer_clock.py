"""Estimate of a peer's clock."""

from __future__ import annotations

import math

RESOLUTION_MS = 1.0
"""Resolution of times in a status; the error counts as round-trip time."""


class PeerClock:
    """Estimated offset between a peer's clock and the local one.

    Attributes:
      offset_ms: Added to a reading of the peer's clock, it gives a time on the
        local clock that is never later than the true one.
      round_trip_ms: Round-trip time of the sample that it was taken from.
    """

    def __init__(self) -> None:
        self.offset_ms = 0.0
        self.round_trip_ms = float("inf")

    def sample(
        self, *, now: float, peer_now: float, echo: float, held: float
    ) -> None:
        """Updates the offset if this sample has the shortest round trip.

        The complete round-trip time is subtracted, so that a frame that was
        delayed in transit can appear older than it is, but never newer.

        Args:
          now: Local clock when the status was received.
          peer_now: Peer's clock when it was sent.
          echo: Local clock when the status that it echoes was sent.
          held: Time between receipt and echo at the peer.
        """
        round_trip = max(0.0, now - echo - held) + RESOLUTION_MS
        if round_trip <= self.round_trip_ms:
            self.round_trip_ms = round_trip
            self.offset_ms = now - peer_now - round_trip

    @property
    def transit_ms(self) -> float:
        """Shortest round-trip time so far; 0 before the first."""
        if math.isinf(self.round_trip_ms):
            return 0.0
        return self.round_trip_ms - RESOLUTION_MS

    def to_own(self, peer_ms: float) -> float:
        """Converts a time on the peer's clock to the local clock."""
        return peer_ms + self.offset_ms
