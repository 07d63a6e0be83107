"""Runs the journal simulation with many seeds and fault plans; exits with 1 on a failure."""

import argparse
import json
import sys
import time

from wharfcart.experiments.journal_simulation import FaultPlan, JournalSimulation

PLANS = {
    "usual": FaultPlan(),
    "harsh": FaultPlan(crash_rate=0.5, pause_rate=0.4, partition_rate=0.4, disk_loss_rate=0.15),
    "slow_disks": FaultPlan(crash_rate=0.8, max_write_s=0.4),
}


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=1000)
    arguments = parser.parse_args()
    started_at = time.monotonic()
    failed: list[dict[str, object]] = []
    for name, plan in PLANS.items():
        for seed in range(arguments.first, arguments.first + arguments.seeds):
            try:
                violations = JournalSimulation(seed, plan).run().check()
            except Exception as error:  # report a crash with its seed
                violations = [repr(error)]
            if violations:
                failed.append({"plan": name, "seed": seed, "violations": violations[:3]})
    figures = {
        "benchmark": "journal_soak",
        "runs": arguments.seeds * len(PLANS),
        "failed": failed,
        "seconds": round(time.monotonic() - started_at, 1),
    }
    print(json.dumps(figures, indent=2))
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
