"""Fault plans drawn from a seed.

At most one storage node is in trouble at a time, since the fleet is set to bear the loss of one;
gateways, back ends and the metadata store may be in trouble together with it and with each other.
"""

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """What can be done to a fleet."""

    KILL = "kill"
    FREEZE = "freeze"
    TERMINATE = "terminate"
    WIPE_DISK = "wipe_disk"
    KILL_ALL = "kill_all"
    LEADER_CUT_AND_WIPED = "leader_cut_and_wiped"
    LINK_SILENT = "link_silent"
    LINK_ONE_WAY = "link_one_way"
    LINK_DELAYED = "link_delayed"
    LINK_RESET = "link_reset"
    DISK_FULL = "disk_full"
    DISK_SLOW = "disk_slow"
    DISK_HANGS = "disk_hangs"
    CLOCK_STEP = "clock_step"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_ANSWERS = "store_loses_answers"
    STORE_FORGETS = "store_forgets"
    STORE_REFUSES_NODE = "store_refuses_node"
    STORE_SILENT_TO_NODE = "store_silent_to_node"
    SERVER_LINK_SILENT = "server_link_silent"
    SERVER_LINK_RESET = "server_link_reset"
    SERVER_LOSES_ANSWERS = "server_loses_answers"
    SERVER_CUTS_STREAMS = "server_cuts_streams"
    SERVER_REPLACED = "server_replaced"
    CONFIGURATION = "configuration"
    ZONE_EVACUATED = "zone_evacuated"
    FATAL_REQUEST = "fatal_request"


STORAGE_FAULTS = (
    FaultKind.KILL,
    FaultKind.FREEZE,
    FaultKind.TERMINATE,
    FaultKind.WIPE_DISK,
    FaultKind.LEADER_CUT_AND_WIPED,
    FaultKind.LEADER_CUT_AND_WIPED,
    FaultKind.LINK_SILENT,
    FaultKind.LINK_ONE_WAY,
    FaultKind.LINK_DELAYED,
    FaultKind.LINK_RESET,
    FaultKind.DISK_FULL,
    FaultKind.DISK_SLOW,
    FaultKind.DISK_HANGS,
    FaultKind.CLOCK_STEP,
)
GATEWAY_FAULTS = (
    FaultKind.KILL,
    FaultKind.FREEZE,
    FaultKind.TERMINATE,
    FaultKind.CLOCK_STEP,
    FaultKind.STORE_REFUSES_NODE,
    FaultKind.STORE_SILENT_TO_NODE,
)
FLEET_FAULTS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_ANSWERS,
    FaultKind.STORE_FORGETS,
    FaultKind.SERVER_LINK_SILENT,
    FaultKind.SERVER_LINK_RESET,
    FaultKind.SERVER_LOSES_ANSWERS,
    FaultKind.SERVER_CUTS_STREAMS,
    FaultKind.SERVER_REPLACED,
    FaultKind.CONFIGURATION,
    FaultKind.CONFIGURATION,
    FaultKind.ZONE_EVACUATED,
    FaultKind.ZONE_EVACUATED,
)

# A storage node that was in trouble has caught up after this time.
CATCH_UP_S = 5.0
SHORTEST_S = 0.5
LONGEST_S = 5.0
# The chance that everything is killed at once in the middle of a run.
KILL_ALL_CHANCE = 0.25
# Requests that end their back ends, and how long their callers repeat them.
MOST_FATAL_REQUESTS = 2


@dataclass(frozen=True)
class PlannedFault:
    """One fault of a plan, or one order of the operator.

    Attributes:
        at_s: when it begins, from the start of the load.
        for_s: how long it lasts.
        target: number of the gateway, storage node or back end; meaningless for others.
        on_storage: whether ``target`` is a storage node rather than a gateway.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    on_storage: bool = False

    def __str__(self) -> str:
        where = "storage" if self.on_storage else "other"
        return f"{self.at_s:.2f} s {self.kind.value} {where} {self.target} for {self.for_s:.2f} s"


def draw_plan(seed: int, load_s: float, gateways: int, stores: int) -> list[PlannedFault]:
    """Draw the faults of one run.

    Args:
        seed: the same seed draws the same plan.
        load_s: faults end before this time.
        gateways: number of gateways.
        stores: number of storage nodes.

    Returns:
        The faults in the order in which they begin.
    """
    rng = random.Random(seed)
    faults = _draw_storage_faults(rng, load_s, stores)
    for kinds in (GATEWAY_FAULTS, FLEET_FAULTS):
        for _ in range(max(1, int(load_s / 5))):
            for_s = rng.uniform(SHORTEST_S, LONGEST_S)
            at_s = rng.uniform(0, load_s - for_s)
            faults.append(PlannedFault(at_s, for_s, rng.choice(kinds), rng.randrange(gateways)))
    if rng.random() < KILL_ALL_CHANCE:
        faults = [fault for fault in faults if not fault.on_storage]
        at_s = rng.uniform(load_s / 4, load_s / 2)
        faults.append(PlannedFault(at_s, SHORTEST_S, FaultKind.KILL_ALL, 0))
    faults += _draw_fatal_requests(random.Random(f"{seed} fatal"), load_s, gateways)
    return sorted(faults, key=lambda fault: fault.at_s)


def _draw_fatal_requests(rng: random.Random, load_s: float, gateways: int) -> list[PlannedFault]:
    """Draw callers that repeat such a request beside everything else, at any gateway."""
    drawn = []
    for _ in range(rng.randint(0, MOST_FATAL_REQUESTS)):
        for_s = rng.uniform(SHORTEST_S, load_s / 2)
        at_s = rng.uniform(0, load_s - for_s)
        target = rng.randrange(gateways)
        drawn.append(PlannedFault(at_s, for_s, FaultKind.FATAL_REQUEST, target))
    return drawn


def _draw_storage_faults(rng: random.Random, load_s: float, stores: int) -> list[PlannedFault]:
    faults: list[PlannedFault] = []
    at_s = rng.uniform(0, 3.0)
    while True:
        for_s = rng.uniform(SHORTEST_S, LONGEST_S)
        if at_s + for_s > load_s:
            return faults
        kind = rng.choice(STORAGE_FAULTS)
        faults.append(PlannedFault(at_s, for_s, kind, rng.randrange(stores), on_storage=True))
        at_s += for_s + CATCH_UP_S + rng.uniform(0, 2.0)
