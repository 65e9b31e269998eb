"""Records the outcome of an attempt where later decisions use it.

The router receives load and health of the target, the throttle whether the call
was shed. A running parent records a shed call, as its answer reports it
upstream.
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


def traffic_class_of(call: call_model.Call) -> throttle.TrafficClass:
    """Returns the throttle's key for a call."""
    return throttle.TrafficClass(call.service, call.workspace, call.priority)


def record(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    head: call_stream.Head,
) -> None:
    """Records the head that ended an attempt."""
    if head.limit > 0:
        context.router.record_report(
            candidate,
            load=head.load,
            limit=head.limit,
            shed_level=head.shed_level,
            now=context.clock.now(),
        )
    if isinstance(head, messages.Answer):
        record_answer(context, call, candidate, head)
    else:
        record_refusal(context, call, candidate, head)


def record_answer(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    answer: messages.Answer,
) -> None:
    """Records an answer of the target."""
    shed_below = (
        answer.status >= 500 and answer.shed_level > graph_model.NO_SHEDDING
    )
    if answer.status in TARGET_FAULTS and not shed_below:
        candidate.health.failed(context.clock.now())
    else:
        candidate.health.succeeded()
    record_shedding(
        context, call, accepted=not shed_below, shed_level=answer.shed_level
    )


def record_refusal(
    context: node_context.NodeContext,
    call: call_model.Call,
    candidate: router.Candidate,
    refuse: messages.Refuse,
) -> None:
    """Records a refusal."""
    if refuse.code in FAILURE_CODES:
        candidate.health.failed(context.clock.now())
    else:
        candidate.health.released()
    record_shedding(
        context,
        call,
        accepted=refuse.code != errors.Code.OVERLOADED,
        shed_level=refuse.shed_level,
    )


def record_shedding(
    context: node_context.NodeContext,
    call: call_model.Call,
    *,
    accepted: bool,
    shed_level: int,
) -> None:
    """Records in the throttle, and in the parent, whether a call was shed."""
    context.throttle.record_response(
        traffic_class_of(call),
        accepted=accepted,
        shed_level=shed_level,
        now=context.clock.now(),
    )
    if call.parent is not None and not accepted:
        call.parent.record_shedding(max(shed_level, call.priority))
