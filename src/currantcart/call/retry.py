"""Decides whether a failed attempt is followed by another one."""

from __future__ import annotations

import dataclasses
import enum

from currantcart import errors
from currantcart.call import allowance

REROUTES_MAX = 2
REROUTABLE = frozenset(
    {
        errors.Code.DRAINING,
        errors.Code.NOT_READY,
        errors.Code.NO_TARGET,
        errors.Code.PEER_UNREACHABLE,
        errors.Code.TARGET_UNREACHABLE,
    }
)
FINAL = frozenset(
    {
        errors.Code.OVERLOADED,
        errors.Code.DEADLINE_EXCEEDED,
        errors.Code.KEY_UNKNOWN,
        errors.Code.CANCELLED,
    }
)
RETRIED_STATUSES = frozenset({502, 504})


class Next(enum.Enum):
    """What follows a failed attempt."""

    RETRY = "retry"
    REROUTE = "reroute"
    STOP = "stop"


@dataclasses.dataclass(slots=True)
class Attempts:
    """Attempts of one call at one node.

    Attributes:
      idempotent: Whether the call may run more than once.
      replayable: Whether its complete body can still be sent again.
      reroutes: Refused attempts that were sent to another target.
      retries: Retries made.
    """

    idempotent: bool
    replayable: bool
    reroutes: int = 0
    retries: int = 0

    def after_refusal(
        self,
        *,
        code: errors.Code,
        not_run: bool,
        remaining: allowance.Allowance,
        budget: allowance.RetryBudget,
    ) -> Next:
        """Decides what follows an attempt that ended without an answer.

        A refusal by an instance that is leaving or cannot be reached caused
        no work anywhere. So the call is rerouted to another target without
        using the allowance, at most `REROUTES_MAX` times. Overload is final:
        retries to a service that sheds would keep it shedding.
        """
        if not self.replayable or code in FINAL:
            return Next.STOP
        if not_run and code in REROUTABLE:
            if self.reroutes >= REROUTES_MAX:
                return Next.STOP
            self.reroutes += 1
            return Next.REROUTE
        if not (not_run or self.idempotent):
            return Next.STOP
        return self.spend(remaining, budget)

    def after_status(
        self,
        status: int,
        *,
        remaining: allowance.Allowance,
        budget: allowance.RetryBudget,
    ) -> Next:
        """Decides what follows a target's answer."""
        if status not in RETRIED_STATUSES:
            return Next.STOP
        if not (self.replayable and self.idempotent):
            return Next.STOP
        return self.spend(remaining, budget)

    def spend(
        self, remaining: allowance.Allowance, budget: allowance.RetryBudget
    ) -> Next:
        """Uses one retry of both the call's and the node's limits, or stops."""
        if remaining.remaining == 0 or not budget.spend():
            return Next.STOP
        remaining.spend()
        self.retries += 1
        return Next.RETRY
