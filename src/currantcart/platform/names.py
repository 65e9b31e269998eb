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
)
CONFIG_KEY = "op/config"
NODES_PREFIX = "currantcart/nodes/"
READINESS_PATH = "/currantcart/readiness"
REPORT_PATH = "/currantcart/rpc"
HEARTBEAT_CALL = "instances.heartbeat"
DEREGISTER_CALL = "instances.deregister"
