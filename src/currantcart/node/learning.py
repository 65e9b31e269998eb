"""What a node learns from the end of an attempt.

The router learns load and health, the throttle whether the call was shed, and
a running parent that its own answer has to carry that on.
"""

from __future__ import annotations

from currantcart import errors
from currantcart.admission import throttle
from currantcart.call import model as call_model
from currantcart.graph import model as graph_model
from currantcart.node import context as node_context
from currantcart.routing import router
from currantcart.wire import call_stream, messages

TARGET_FAULTS = frozenset({500, 502, 504})
FAILURE_CODES = frozenset(
    {
        errors.Code.PEER_LOST,
        errors.Code.PEER_UNREACHABLE,
        errors.Code.TARGET_FAILED,
        errors.Code.TARGET_UNREACHABLE,
        errors.Code.ANSWER_ABORTED,
    }
)


def stream_of(call: call_model.Call) -> throttle.Stream:
    """Returns the stream under which a call is throttled."""
    return throttle.Stream(call.service, call.workspace, call.priority)


def learn(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    head: call_stream.Head,
) -> None:
    """Learns from what came back of an attempt."""
    if head.limit > 0:
        context.router.report(
            candidate,
            load=head.load,
            limit=head.limit,
            shed_level=head.shed_level,
            now=context.clock.now(),
        )
    if isinstance(head, messages.Answer):
        learn_from_answer(context, call, candidate, head)
    else:
        learn_from_refusal(context, call, candidate, head)


def learn_from_answer(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    answer: messages.Answer,
) -> None:
    """Learns from a target's answer."""
    shed_below = (
        answer.status >= 500 and answer.shed_level > graph_model.NO_SHEDDING
    )
    if answer.status in TARGET_FAULTS and not shed_below:
        candidate.health.failed(context.clock.now())
    else:
        candidate.health.succeeded()
    note_shedding(
        context, call, accepted=not shed_below, shed_level=answer.shed_level
    )


def learn_from_refusal(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    refuse: messages.Refuse,
) -> None:
    """Learns from a refusal."""
    if refuse.code in FAILURE_CODES:
        candidate.health.failed(context.clock.now())
    else:
        candidate.health.released()
    note_shedding(
        context,
        call,
        accepted=refuse.code != errors.Code.OVERLOADED,
        shed_level=refuse.shed_level,
    )


def note_shedding(
    context: node_context.NodeContext,
    call: call_model.Call,
    *,
    accepted: bool,
    shed_level: int,
) -> None:
    """Feeds the throttle, and the parent whose answer carries it on."""
    context.throttle.answered(
        stream_of(call),
        accepted=accepted,
        shed_level=shed_level,
        now=context.clock.now(),
    )
    if call.parent is not None and not accepted:
        call.parent.note_shedding(max(shed_level, call.priority))
