"""Announces the local target while it accepts connections."""

from __future__ import annotations

import asyncio
import dataclasses

from currantcart.membership import table
from currantcart.node import context as node_context
from currantcart.node import gossip as node_gossip
from currantcart.settings import model as settings_model

CHECK_SECONDS = 0.5
CHECK_TIMEOUT_SECONDS = 1.0
FAILURES_MAX = 3


class TargetWatch:
    """Health check of the local target.

    Attributes:
      failures: Consecutive failed checks.
    """

    def __init__(
        self,
        context: node_context.NodeContext,
        *,
        members: table.MemberTable,
        gossip: node_gossip.Gossip,
    ) -> None:
        self.context = context
        self.members = members
        self.gossip = gossip
        self.failures = 0

    async def run(self) -> None:
        """Checks the target periodically until cancelled.

        It is announced with no slots after `FAILURES_MAX` consecutive failed
        checks.
        """
        target = self.context.settings.target
        while True:
            if await self.accepts_connections():
                self.failures = 0
                self.announce(target.slots)
            else:
                self.failures += 1
                if self.failures >= FAILURES_MAX:
                    self.announce(0)
            await asyncio.sleep(CHECK_SECONDS)

    async def accepts_connections(self) -> bool:
        """Returns whether the target accepts a TCP connection."""
        address = self.context.settings.target.address
        host, port = settings_model.split_address(address)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                _, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError):
            return False
        writer.close()
        return True

    def announce(self, slots: int) -> None:
        """Announces the target's slots if they have changed.

        Args:
          slots: Calls that the target runs concurrently; 0 if it is down.
        """
        local = self.members.own
        if local.slots == slots or self.context.draining:
            return
        started = int(self.context.clock.wall()) if slots else local.started
        self.members.announce(
            dataclasses.replace(
                local,
                slots=slots,
                incarnation=local.incarnation + 1,
                started=started,
            ),
            self.context.clock.now(),
        )
        self.context.logger.info("target announced", slots=slots)
        self.gossip.announce()
