"""Random fault plans, reproducible from a seed.

At most one storage node is faulty at a time, since the fleet tolerates the loss of one. Faults of
gateways, back ends and the metadata store may overlap with it and with each other.
"""

import random
from dataclasses import dataclass
from enum import Enum


class FaultKind(Enum):
    """Kinds of faults and of operator actions; the values appear in ``verdict.json``."""

    KILL = "kill"
    FREEZE = "freeze"
    TERMINATE = "terminate"
    WIPE_DISK = "wipe_disk"
    KILL_ALL = "kill_all"
    PARTITIONED_LEADER_WIPED = "leader_cut_and_wiped"
    LINK_STALLED = "link_silent"
    LINK_ONE_WAY = "link_one_way"
    LINK_DELAYED = "link_delayed"
    LINK_RESET = "link_reset"
    DISK_FULL = "disk_full"
    DISK_SLOW = "disk_slow"
    DISK_HANGS = "disk_hangs"
    CLOCK_STEP = "clock_step"
    STORE_DOWN = "store_down"
    STORE_SLOW = "store_slow"
    STORE_LOSES_RESPONSES = "store_loses_answers"
    STORE_COMPACTED = "store_forgets"
    STORE_REFUSES_NODE = "store_refuses_node"
    STORE_UNRESPONSIVE_TO_NODE = "store_silent_to_node"
    SERVER_LINK_STALLED = "server_link_silent"
    SERVER_LINK_RESET = "server_link_reset"
    SERVER_LOSES_RESPONSES = "server_loses_answers"
    SERVER_CUTS_STREAMS = "server_cuts_streams"
    SERVER_REPLACED = "server_replaced"
    ROUTE_ADDED = "configuration"
    ZONE_EVACUATED = "zone_evacuated"
    POISON_REQUEST = "fatal_request"
    POISON_PART = "fatal_part"
    SIGNAL_SERIES = "signal_series"
    LATE_MESSAGES = "late_messages"
    LEADER_SERIES = "leader_series"
    RELEASE = "release"
    CRASH_SERIES = "crash_series"
    ENDLESS_ANSWERS = "endless_answers"


STORAGE_FAULTS = (
    FaultKind.KILL,
    FaultKind.FREEZE,
    FaultKind.TERMINATE,
    FaultKind.WIPE_DISK,
    FaultKind.PARTITIONED_LEADER_WIPED,
    FaultKind.PARTITIONED_LEADER_WIPED,
    FaultKind.LINK_STALLED,
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
    FaultKind.STORE_UNRESPONSIVE_TO_NODE,
)
FLEET_FAULTS = (
    FaultKind.STORE_DOWN,
    FaultKind.STORE_SLOW,
    FaultKind.STORE_LOSES_RESPONSES,
    FaultKind.STORE_COMPACTED,
    FaultKind.SERVER_LINK_STALLED,
    FaultKind.SERVER_LINK_RESET,
    FaultKind.SERVER_LOSES_RESPONSES,
    FaultKind.SERVER_CUTS_STREAMS,
    FaultKind.SERVER_REPLACED,
    FaultKind.ROUTE_ADDED,
    FaultKind.ROUTE_ADDED,
    FaultKind.ZONE_EVACUATED,
    FaultKind.ZONE_EVACUATED,
)

# A recovered storage node has caught up with the other replicas after this time.
REPLICA_CATCH_UP_S = 5.0
MIN_FAULT_S = 0.5
MAX_FAULT_S = 5.0
# Probability that a run kills all processes at once.
KILL_ALL_PROBABILITY = 0.25
MAX_POISON_REQUESTS = 2
POISON_PART_PROBABILITY = 0.5
MAX_SIGNAL_SERIES = 2
MIN_SIGNAL_SERIES_S = 2.0
MAX_SIGNAL_SERIES_S = 6.0
# Probability that a run has one of the series of faults of storage nodes.
STORAGE_SERIES_PROBABILITY = 0.6
LATE_MESSAGES_S = (4.0, 8.0)
LEADER_SERIES_S = 6.0
# With more, finding the process of each new connection takes too long.
MAX_STORES_OF_LEADER_SERIES = 3
MAX_RELEASES = 3
RELEASE_S = (2.0, 6.0)
MAX_CRASH_SERIES = 2
CRASH_SERIES_S = (1.0, 4.0)
ENDLESS_ANSWERS_PROBABILITY = 0.5
ENDLESS_ANSWERS_S = (1.0, 4.0)


@dataclass(frozen=True)
class PlannedFault:
    """One fault of a plan, or one action of the operator.

    Attributes:
        start_s: start time, in seconds since the start of the load.
        duration_s: duration in seconds.
        kind: what happens.
        target_index: index of the gateway, storage node, back end or zone, or number of the
            released version; unused by kinds that affect the whole fleet.
        on_storage: whether ``target_index`` is that of a storage node.
    """

    start_s: float
    duration_s: float
    kind: FaultKind
    target_index: int
    on_storage: bool = False

    def __str__(self) -> str:
        target_role = "storage" if self.on_storage else "other"
        return (
            f"{self.start_s:.2f} s {self.kind.value} {target_role} {self.target_index} "
            f"for {self.duration_s:.2f} s"
        )


def generate_plan(seed: int, load_s: float, gateways: int, stores: int) -> list[PlannedFault]:
    """Generate the faults of one run.

    Args:
        seed: seed of the random generator; the same seed gives the same plan.
        load_s: duration of the load; every fault ends before the load does.
        gateways: number of gateways.
        stores: number of storage nodes.

    Returns:
        The faults, ordered by start time.
    """
    rng = random.Random(seed)
    faults = _generate_storage_faults(rng, load_s, stores)
    for kinds in (GATEWAY_FAULTS, FLEET_FAULTS):
        for _ in range(max(1, int(load_s / 5))):
            duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
            start_s = rng.uniform(0, load_s - duration_s)
            faults.append(
                PlannedFault(start_s, duration_s, rng.choice(kinds), rng.randrange(gateways))
            )
    if rng.random() < KILL_ALL_PROBABILITY:
        faults = [fault for fault in faults if not fault.on_storage]
        start_s = rng.uniform(load_s / 4, load_s / 2)
        faults.append(PlannedFault(start_s, MIN_FAULT_S, FaultKind.KILL_ALL, 0))
    else:
        faults = _insert_storage_series(random.Random(f"{seed} storage"), faults, load_s, stores)
    faults += _generate_poison_requests(random.Random(f"{seed} fatal"), load_s, gateways)
    faults += _generate_poison_parts(random.Random(f"{seed} fatal parts"), load_s, gateways)
    faults += _generate_signal_series(random.Random(f"{seed} series"), load_s, gateways)
    faults += _generate_releases(random.Random(f"{seed} releases"), load_s)
    faults += _generate_crash_series(random.Random(f"{seed} crashes"), load_s)
    faults += _generate_endless_answers(random.Random(f"{seed} endless"), load_s)
    return sorted(faults, key=lambda fault: fault.start_s)


def _generate_poison_parts(rng: random.Random, load_s: float, gateways: int) -> list[PlannedFault]:
    """Generate callers of requests with a part that crashes back ends, in every other run."""
    if rng.random() >= POISON_PART_PROBABILITY:
        return []
    duration_s = rng.uniform(load_s / 2, load_s * 0.8)
    start_s = rng.uniform(0, load_s - duration_s)
    return [PlannedFault(start_s, duration_s, FaultKind.POISON_PART, rng.randrange(gateways))]


def _generate_poison_requests(
    rng: random.Random, load_s: float, gateways: int
) -> list[PlannedFault]:
    """Generate callers that repeat a poison request; these overlap with all other faults."""
    faults = []
    for _ in range(rng.randint(0, MAX_POISON_REQUESTS)):
        duration_s = rng.uniform(MIN_FAULT_S, load_s / 2)
        start_s = rng.uniform(0, load_s - duration_s)
        target = rng.randrange(gateways)
        faults.append(PlannedFault(start_s, duration_s, FaultKind.POISON_REQUEST, target))
    return faults


def _generate_signal_series(rng: random.Random, load_s: float, gateways: int) -> list[PlannedFault]:
    """Generate series of signals to one gateway; these overlap with all other faults."""
    faults = []
    for _ in range(rng.randint(0, MAX_SIGNAL_SERIES)):
        duration_s = min(rng.uniform(MIN_SIGNAL_SERIES_S, MAX_SIGNAL_SERIES_S), load_s)
        start_s = rng.uniform(0, load_s - duration_s)
        target = rng.randrange(gateways)
        faults.append(PlannedFault(start_s, duration_s, FaultKind.SIGNAL_SERIES, target))
    return faults


def _generate_releases(rng: random.Random, load_s: float) -> list[PlannedFault]:
    """Generate releases of back-end software; these overlap with each other and with all faults."""
    faults = []
    for _ in range(rng.randint(1, MAX_RELEASES)):
        duration_s = min(rng.uniform(*RELEASE_S), load_s)
        start_s = rng.uniform(0, load_s - duration_s)
        version_number = rng.randrange(MAX_RELEASES)
        faults.append(PlannedFault(start_s, duration_s, FaultKind.RELEASE, version_number))
    return faults


def _generate_crash_series(rng: random.Random, load_s: float) -> list[PlannedFault]:
    """Generate series of crashes of stream servers; these overlap with all other faults."""
    faults = []
    for _ in range(rng.randint(0, MAX_CRASH_SERIES)):
        duration_s = min(rng.uniform(*CRASH_SERIES_S), load_s)
        start_s = rng.uniform(0, load_s - duration_s)
        faults.append(PlannedFault(start_s, duration_s, FaultKind.CRASH_SERIES, rng.randrange(100)))
    return faults


def _generate_endless_answers(rng: random.Random, load_s: float) -> list[PlannedFault]:
    """Generate a time in which one stream server answers without end, in every other run."""
    if rng.random() >= ENDLESS_ANSWERS_PROBABILITY:
        return []
    duration_s = min(rng.uniform(*ENDLESS_ANSWERS_S), load_s)
    start_s = rng.uniform(0, load_s - duration_s)
    return [PlannedFault(start_s, duration_s, FaultKind.ENDLESS_ANSWERS, rng.randrange(100))]


def _insert_storage_series(
    rng: random.Random, faults: list[PlannedFault], load_s: float, stores: int
) -> list[PlannedFault]:
    """Put a series in place of the faults of storage nodes that are too close to it."""
    if rng.random() >= STORAGE_SERIES_PROBABILITY:
        return faults
    kind = rng.choice((FaultKind.LATE_MESSAGES, FaultKind.LEADER_SERIES))
    if stores > MAX_STORES_OF_LEADER_SERIES:
        kind = FaultKind.LATE_MESSAGES
    is_late = kind is FaultKind.LATE_MESSAGES
    duration_s = rng.uniform(*LATE_MESSAGES_S) if is_late else LEADER_SERIES_S
    start_s = rng.uniform(0, load_s - duration_s)
    series = PlannedFault(start_s, duration_s, kind, rng.randrange(stores), on_storage=True)
    distant = [
        fault
        for fault in faults
        if not fault.on_storage
        or fault.start_s >= start_s + duration_s + REPLICA_CATCH_UP_S
        or start_s >= fault.start_s + fault.duration_s + REPLICA_CATCH_UP_S
    ]
    return [*distant, series]


def _generate_storage_faults(rng: random.Random, load_s: float, stores: int) -> list[PlannedFault]:
    faults: list[PlannedFault] = []
    start_s = rng.uniform(0, 3.0)
    while True:
        duration_s = rng.uniform(MIN_FAULT_S, MAX_FAULT_S)
        if start_s + duration_s > load_s:
            return faults
        kind = rng.choice(STORAGE_FAULTS)
        faults.append(
            PlannedFault(start_s, duration_s, kind, rng.randrange(stores), on_storage=True)
        )
        start_s += duration_s + REPLICA_CATCH_UP_S + rng.uniform(0, 2.0)
