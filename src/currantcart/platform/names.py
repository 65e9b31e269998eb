"""Header names, store keys, paths and calls of the platform."""

from __future__ import annotations

from currantcart.proxy import header_names

HEADER_NAMES = header_names.HeaderNames(
    request_id="Currantcart-Request-Id",
    deadline="Currantcart-Deadline-Ms",
    workspace="Currantcart-Tenant",
    caller="Currantcart-Caller-Service",
    expected="Currantcart-Expect-Instance",
    not_executed="Currantcart-Not-Executed",
    key="Api-Key",
    seal="Currantcart-Server-Seal",
    instance="Currantcart-Instance-Id",
    cold="Currantcart-Cold-Ms",
    limit="Server-Limit",
    leaving="Server-Leaving",
)
OPERATOR_PREFIX = "op/"
CONFIG_KEY = "op/config"
EVACUATIONS_PREFIX = "op/evacuate/"
NODES_PREFIX = "currantcart/nodes/"
READINESS_PATH = "/currantcart/readiness"
REPORT_PATH = "/currantcart/rpc"
HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTER_CALL = "instances.deregister"
