"""Builds and checks a call on its arrival at the node of its target."""

from __future__ import annotations

from currantcart import errors
from currantcart.admission import controller, queue
from currantcart.call import active, allowance
from currantcart.graph import model as graph_model
from currantcart.node import context as node_context
from currantcart.node import incoming as incoming_module
from currantcart.wire import call_stream, messages


def build(
    context: node_context.NodeContext,
    opening: messages.Open,
    stream: call_stream.CallStream,
    now: float,
) -> incoming_module.Incoming:
    """Builds the state of a call from its opening message."""
    deadline_ms = now + opening.remaining_ms
    hop = context.tracing.begin("target", opening.traceparent)
    return incoming_module.Incoming(
        opening=opening,
        stream=stream,
        waiting=queue.WaitingCall(
            call_id=opening.call_id,
            workspace=opening.workspace,
            priority=opening.priority,
            deadline_ms=deadline_ms,
            arrived_ms=now,
        ),
        call=active.ActiveCall(
            call_id=opening.call_id,
            root_id=opening.root_id,
            service=opening.service,
            workspace=opening.workspace,
            key_id=opening.key_id,
            importance=graph_model.Importance(opening.importance),
            priority=opening.priority,
            deadline_ms=deadline_ms,
            allowance=allowance.Allowance(opening.allowance),
            depth=opening.depth,
            traceparent=hop.traceparent if hop else opening.traceparent,
        ),
        hop=hop,
    )


def precheck(
    context: node_context.NodeContext, opening: messages.Open
) -> errors.Refusal | None:
    """Checks what the sender may not have known, as its view may be stale.

    Returns:
      The refusal, or None if the call may run here.
    """
    settings = context.settings
    if context.draining:
        return incoming_module.refusal(
            errors.Code.DRAINING,
            errors.Step.ADMIT,
            "this target is leaving",
            not_run=True,
            retry_after_ms=controller.RETRY_AFTER_MS_MIN,
        )
    if opening.service != settings.target.service:
        return incoming_module.refusal(
            errors.Code.NO_TARGET,
            errors.Step.ADMIT,
            f"this target serves {settings.target.service}",
            not_run=True,
        )
    return check_view(context, opening)


def check_view(
    context: node_context.NodeContext, opening: messages.Open
) -> errors.Refusal | None:
    """Checks a call by the configuration in force at this node.

    The node that accepted the call may not have received a withdrawal of its
    key or an evacuation of this failure domain yet, or this node may have
    received it while the call waited in the queue.

    Returns:
      The refusal, or None if the call may run.
    """
    view = context.config.view
    if view is None:
        return incoming_module.refusal(
            errors.Code.NOT_READY,
            errors.Step.ADMIT,
            "this node has no configuration yet",
            not_run=True,
            retry_after_ms=controller.RETRY_AFTER_MS_MIN,
        )
    if context.settings.failure_domain in view.evacuated:
        return incoming_module.refusal(
            errors.Code.NO_TARGET,
            errors.Step.ADMIT,
            "the failure domain of this target is evacuated",
            not_run=True,
            retry_after_ms=controller.RETRY_AFTER_MS_MIN,
        )
    if opening.key_id in view.key_ids:
        return None
    return incoming_module.refusal(
        errors.Code.KEY_UNKNOWN,
        errors.Step.ADMIT,
        "the key was withdrawn",
        not_run=True,
    )
