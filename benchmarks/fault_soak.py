"""Runs the fault soak with the kept regression seeds, then new seeds; exits with 1 on a failure."""

import argparse
import subprocess
import sys
import tomllib
from pathlib import Path

KEPT_SEEDS_PATH = Path(__file__).parent.parent / "tests" / "soak" / "kept_seeds.toml"
COMMAND = (sys.executable, "-m", "wharfcart", "soak")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--fresh", type=int, default=4, help="number of fresh seeds")
    parser.add_argument("--load-s", type=float, default=30.0, help="load of fresh seeds")
    arguments = parser.parse_args()
    runs = [
        ["--seed", str(kept["seed"]), "--load-s", str(kept["load_s"])]
        for kept in tomllib.loads(KEPT_SEEDS_PATH.read_text())["seed"]
    ]
    if arguments.fresh:
        runs.append(["--seeds", str(arguments.fresh), "--load-s", str(arguments.load_s)])
    failed = [run for run in runs if subprocess.run([*COMMAND, *run]).returncode]
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
