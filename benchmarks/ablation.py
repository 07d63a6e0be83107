"""Measures the effect of each mechanism: runs days of a deployment with the mechanism disabled.

    python benchmarks/ablation.py BENCH SITE WORK [--days D,...] [--seeds N,...] [--only NAME,...]

BENCH is the users' bench, SITE one of its site files, WORK a folder for clones of this repository,
one per mechanism (not under /tmp). A mechanism is disabled by replacing source text in the clone,
so that the product needs no switch for it; text that does not occur exactly once is an error.
Prints a line per mechanism: the score of each day and seed, their mean, and the broken rules.
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
    """A mechanism and the source edit that disables it."""

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
    """Run the days of every mechanism."""
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
    """Clone the repository and disable a mechanism in the clone."""
    clone = work / ablation.name.replace(" ", "-")
    shutil.rmtree(clone, ignore_errors=True)
    subprocess.run(["git", "clone", "--quiet", str(ROOT), str(clone)], check=True)
    built = ROOT / "target" / "deps"
    if built.exists():
        shutil.copytree(built, clone / "target" / "deps")
    path = clone / SOURCES / ablation.file
    text = path.read_text()
    if text.count(ablation.original) != 1:
        sys.exit(f"{ablation.name}: {ablation.file} must contain the original text exactly once")
    path.write_text(text.replace(ablation.original, ablation.replacement))
    return clone


def run_ablation(
    ablation: Ablation, clone: Path, bench: Path, site: Path, plays: list[tuple[str, str]]
) -> str:
    """Run the days in a clone and return its row of the table."""
    why = f"ablation: without {ablation.name}"

    def play(day: str, seed: str) -> str:
        command = [str(bench), "run", str(site), day, "--seed", seed, "--why", why]
        done = subprocess.run(command, cwd=clone, capture_output=True, text=True, check=False)
        return done.stdout

    # The first run builds the extension; the others reuse it.
    outputs = [play(*plays[0])]
    with ThreadPoolExecutor(MAX_CONCURRENT_RUNS) as pool:
        outputs += pool.map(lambda one: play(*one), plays[1:])
    scores = [parse_worth(output) for output in outputs]
    known_scores = [score for score in scores if score is not None]
    mean = sum(known_scores) / len(known_scores) if known_scores else 0.0
    broken = [rule for output in outputs for rule in re.findall(r"BROKEN: ([A-Z]+ \d+)", output)]
    cells = " | ".join("no result" if score is None else f"{score:.3f}" for score in scores)
    return f"{ablation.name} | {cells} | {mean:.3f} | {', '.join(broken)}"


def parse_worth(output: str) -> float | None:
    """Return the score of a day from the output of the bench; None without a score."""
    match = re.search(r"^worth (\d\.\d+)", output, re.MULTILINE)
    return None if match is None else float(match[1])


if __name__ == "__main__":
    main()
