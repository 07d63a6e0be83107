"""What each mechanism is worth: days of a deployment with the mechanism switched off.

    python benchmarks/ablation.py BENCH SITE WORK [--days D,...] [--seeds N,...] [--only NAME,...]

BENCH is the users' bench, SITE a site file of theirs, WORK a folder for clones of this repository,
one a mechanism (not under /tmp). A mechanism is switched off by replacing a line of the clone's
sources, so that the product needs no switch for it; a line that is no longer there is an error.
Prints a line a mechanism: worth of each day and seed, their mean, rules broken.
"""

import argparse
import re
import shutil
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_CONCURRENT_RUNS = 4
SOURCES = "src/wharfcart"


@dataclass(frozen=True)
class Ablation:
    """One mechanism and the edit that switches it off."""

    name: str
    file: str
    original: str
    replacement: str


ABLATIONS = (
    Ablation("nothing", "routing/placement.py", "GRANT_TIMEOUT_S = 0.04", "GRANT_TIMEOUT_S = 0.04"),
    Ablation(
        "grants",
        "routing/placement.py",
        "asks = request.service in self.granting and monotonic() >= self._paused_until",
        "asks = False",
    ),
    Ablation(
        "items leave for a grant",
        "batch/placed_items.py",
        "if not there:\n            return 0",
        "if not there or True:\n            return 0",
    ),
    Ablation(
        "waiting where slots are granted",
        "routing/slot_granting.py",
        "if not self._must_wait(request):",
        "if True:",
    ),
    Ablation(
        "order of the waiting",
        "routing/slot_queue.py",
        "late = now > self.in_time_until",
        "return False, 0, 0.0, self.number\n        late = now > self.in_time_until",
    ),
    Ablation(
        "reports of freed slots",
        "node/load_reports.py",
        "self._slot_freed.clear()",
        "self._slot_freed.clear()\n            continue",
    ),
    Ablation(
        "overdue items last",
        "batch/run_estimate.py",
        "return self.left_s < self.remaining_s * HOPELESS_SHARE",
        "return False",
    ),
    Ablation(
        "urgent items stay",
        "batch/run_estimate.py",
        "return not self.too_late and self.slack_s < LEAST_SLACK_S",
        "return False",
    ),
    Ablation(
        "restart must pay off",
        "batch/job_execution.py",
        "RESTART_COST_S = 0.06",
        "RESTART_COST_S = 0.0",
    ),
    Ablation(
        "affinity",
        "routing/backend_selection.py",
        "MIN_AFFINITY_TOKENS = 1000",
        "MIN_AFFINITY_TOKENS = 10**9",
    ),
    Ablation(
        "hedges",
        "routing/sender.py",
        "if not self._hedge_budget.can_hedge:",
        "if True:",
    ),
    Ablation(
        "outcome record",
        "routing/outcome_record.py",
        "return failures >= MIN_FAILURES and failures / (successes + failures) >= FAILING_SHARE",
        "return False",
    ),
    Ablation(
        "silence",
        "routing/backend_selection.py",
        "FIRST_BYTE_TIMEOUT_S = 0.35",
        "FIRST_BYTE_TIMEOUT_S = 1e9",
    ),
    Ablation(
        "short silence of a leader",
        "storage/job_group.py",
        "ELECTION_TIMEOUT_S = 0.5",
        "ELECTION_TIMEOUT_S = 1.0",
    ),
)


def main() -> None:
    """Play every mechanism's days."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench", type=Path)
    parser.add_argument("site", type=Path)
    parser.add_argument("work", type=Path)
    parser.add_argument("--days", default="scale-1,trouble-3")
    parser.add_argument("--seeds", default="11,12")
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    wanted = set(filter(None, options.only.split(",")))
    plays = [(day, seed) for day in options.days.split(",") for seed in options.seeds.split(",")]
    print("off | " + " | ".join(f"{day} {seed}" for day, seed in plays) + " | mean | broken")
    for ablation in ABLATIONS:
        if wanted and ablation.name not in wanted:
            continue
        clone = prepare_clone(options.work, ablation)
        print(run_ablation(ablation, clone, options.bench.resolve(), options.site.resolve(), plays))
        sys.stdout.flush()


def prepare_clone(work: Path, ablation: Ablation) -> Path:
    """Make a clone of the repository in which a mechanism is off."""
    clone = work / ablation.name.replace(" ", "-")
    shutil.rmtree(clone, ignore_errors=True)
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(clone)], check=True)
    built = ROOT / "target" / "deps"
    if built.exists():
        shutil.copytree(built, clone / "target" / "deps")
    path = clone / SOURCES / ablation.file
    text = path.read_text()
    if text.count(ablation.original) != 1:
        sys.exit(f"{ablation.name}: {ablation.file} does not hold the line once")
    path.write_text(text.replace(ablation.original, ablation.replacement))
    return clone


def run_ablation(
    ablation: Ablation, clone: Path, bench: Path, site: Path, plays: list[tuple[str, str]]
) -> str:
    """Play the days in a clone and return its line of the table."""
    why = f"ablation: without {ablation.name}"

    def play(day: str, seed: str) -> str:
        command = [str(bench), "run", str(site), day, "--seed", seed, "--why", why]
        done = subprocess.run(command, cwd=clone, capture_output=True, text=True, check=False)
        return done.stdout

    # The first play builds; the others find it built.
    outputs = [play(*plays[0])]
    with ThreadPoolExecutor(MAX_CONCURRENT_RUNS) as pool:
        outputs += pool.map(lambda one: play(*one), plays[1:])
    found = [parse_worth(output) for output in outputs]
    known = [worth for worth in found if worth is not None]
    mean = sum(known) / len(known) if known else 0.0
    broken = [rule for output in outputs for rule in re.findall(r"BROKEN: ([A-Z]+ \d+)", output)]
    worths = " | ".join("no result" if worth is None else f"{worth:.3f}" for worth in found)
    return f"{ablation.name} | {worths} | {mean:.3f} | {', '.join(broken)}"


def parse_worth(output: str) -> float | None:
    """Read a day's worth from what the bench prints."""
    found = re.search(r"^worth (\d\.\d+)", output, re.MULTILINE)
    return None if found is None else float(found[1])


if __name__ == "__main__":
    main()
