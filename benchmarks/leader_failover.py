"""Measures the simulated time without a leader after the leader crashes. Prints JSON.

Uses the journal simulation without other faults.
"""

import json

from wharfcart.experiments.journal_simulation import FaultPlan, JournalSimulation

SEEDS = 300
NO_FAULTS = FaultPlan(
    crash_rate=0,
    pause_rate=0,
    partition_rate=0,
    disk_loss_rate=0,
    message_loss=0.01,
    message_duplication=0.01,
    message_lateness=0.0,
)
KILL_AT_S = 6.0
STEP_S = 0.01
MAX_WAIT_S = 10.0


def seconds_without_leader(seed: int) -> float:
    simulation = JournalSimulation(seed, NO_FAULTS)
    simulation.run_until(KILL_AT_S)
    leader = next(m for m in simulation.machines if m.shard is not None and m.shard.is_leader)
    simulation.crash(leader)
    while simulation.now < KILL_AT_S + MAX_WAIT_S:
        simulation.run_until(simulation.now + STEP_S)
        shards = [m.shard for m in simulation.machines if m.shard is not None]
        if any(shard.replica.lease_valid(simulation.now) for shard in shards):
            return simulation.now - KILL_AT_S
    return MAX_WAIT_S


def main() -> None:
    times = sorted(seconds_without_leader(seed) for seed in range(SEEDS))
    figures = {
        "benchmark": "leader_failover",
        "runs": SEEDS,
        "p50_s": round(times[SEEDS // 2], 2),
        "p99_s": round(times[int(SEEDS * 0.99)], 2),
        "longest_s": round(times[-1], 2),
    }
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
