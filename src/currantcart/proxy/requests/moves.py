"""Places requests again that a guard has handed back."""

from __future__ import annotations

import random

from currantcart.admission import hand_back
from currantcart.proxy import context as proxy_context
from currantcart.proxy.requests import call as call_module
from currantcart.proxy.streams import reachability
from currantcart.routing import picker


def take(
    context: proxy_context.Context, call: call_module.Call, code: str
) -> bool:
    """Counts a move if a refusal hands a request back within the limit.

    Beyond the limit, or where moves are turned off, it is an ordinary refusal.

    Args:
      context: Shared state of the node.
      call: The request.
      code: Code of the refusal.

    Returns:
      Whether the request may be placed again.
    """
    if code != hand_back.CODE:
        return False
    if call.moves >= context.settings.hand_back.moves_max:
        return False
    call.moves += 1
    return True


def candidates(
    reachable: reachability.Reachability,
    call: call_module.Call,
    *,
    now: float,
    rng: random.Random,
    far_max: int = reachability.CANDIDATES_FAR,
) -> list[picker.Target]:
    """Returns the candidates for the next attempt of a request.

    For a request that was handed back these are targets with a free slot as far
    as is known, of all failure domains: full targets of the own one would hand
    it back again. If there are none, they are the same as for any request.

    Args:
      reachable: Targets that the node can reach.
      call: The request.
      now: Milliseconds of the node's clock.
      rng: Source of random numbers.
      far_max: Most candidates of other failure domains for a request that was
        not handed back.
    """
    if call.moves:
        free = [
            target
            for target in reachable.reachable(call.service)
            if target.ready
            and target.closed_until <= now
            and target.instance not in call.tried_instances
            and target.load() < 1.0
        ]
        if free:
            count = min(len(free), reachability.CANDIDATES_ALL)
            return rng.sample(free, count)
    return reachable.candidates(call.service, far_max=far_max)


def outcome(ended: str, *, late: bool) -> str:
    """Returns how a request ended that was handed back, for metrics.

    Args:
      ended: Class of its status, or the code of its error.
      late: Whether it took longer than its objective.
    """
    if ended == "caller_left":
        return ended
    if ended.endswith("xx") and ended != "5xx":
        return "late" if late else "in_time"
    return "failed"
