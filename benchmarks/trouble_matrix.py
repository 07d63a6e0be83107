"""Runs each kind of fault on a deployment, alone and mixed, and variants of the deployment.

    python benchmarks/trouble_matrix.py BENCH SITE OUT [--pairs N] [--variant NAME] [--seed N]

BENCH is the users' bench, SITE one of its site files, OUT a folder for the generated site. Prints a
line per day: broken rules, score, weakest part.
"""

import argparse
import random
import re
import shutil
import subprocess
import sys
import tomllib
from pathlib import Path

# name | kind | fields; LM and APP stand for the site's two services.
FAULTS = """
burst | burst | x=2.0 for_s=5.0
crash | srv_crash | service=LM share=0.3 for_s=4.0
dark | srv_crash | service=LM share=0.2 for_s=4.0 how=dark
app-dark | srv_crash | service=APP share=0.34 for_s=4.0 how=dark
gone | srv_crash | service=LM share=0.2 how=gone
lost | answer_lost | share=0.5 x=0.05 for_s=6.0
lost-reset | answer_lost | share=0.5 x=0.05 for_s=6.0 how=reset
garble | garble | share=0.6 x=0.05 for_s=6.0
garble-extra | garble | share=0.6 x=0.05 for_s=6.0 how=extra,late
garble-unframed | garble | share=0.6 x=0.05 for_s=6.0 how=unframed
garble-early | garble | share=0.6 x=0.05 for_s=6.0 how=early
kill | node_kill | share=0.3 for_s=2.0
kill-power | node_kill | share=0.3 for_s=3.0 how=power
freeze | node_freeze | share=0.35 for_s=5.0
herd | herd_kill | share=0.7 for_s=2.0
herd-core | herd_kill | on=core for_s=2.0 how=off,taken
store-kill | node_kill | on=store count=1 for_s=3.0 how=power
store-freeze | node_freeze | on=store count=1 for_s=4.0
store-cut | core_cut | on=store count=1 for_s=6.0
store-oneway | core_cut | on=store count=1 for_s=6.0 how=one_way
store-split | core_cut | on=store for_s=6.0 how=split
store-behind | core_cut | on=store for_s=4.0 how=behind
store-all | core_cut | on=store count=1 for_s=6.0 how=all
store-both | core_cut | on=store count=1 for_s=4.0 how=both
store-relieve | core_cut | on=store count=1 for_s=4.0 how=relieve
wipe | after_ack_wipe | on=store count=1 for_s=2.0
wipe-oldest | after_ack_wipe | on=store count=1 for_s=1.0 how=oldest
ack-kill | after_ack_kill | on=store count=1 for_s=2.0
ack-taken | after_ack_kill | for_s=3.0 how=taken,gone
disk-full | disk_full | on=store count=1 for_s=5.0
disk-slow | disk_slow | on=store count=1 x=40.0 for_s=6.0
replace | replace_core | on=store x=2.0
replace-oldest | replace_core | on=store how=oldest x=1.0
node-cut | node_cut | share=0.3 for_s=6.0
node-cut-all | node_cut | share=0.2 for_s=6.0 how=all
node-cut-servers | node_cut | share=0.2 for_s=6.0 how=servers
service-down | platform_down | for_s=6.0 how=busy,lapse
service-silent | platform_down | for_s=6.0 how=silent
service-reset | platform_down | for_s=6.0 how=reset
service-slow | platform_slow | x=60.0 for_s=6.0
service-lost | platform_lost | x=0.5 for_s=6.0 how=late
service-compact | platform_compact | x=5.0 for_s=12.0 how=drain
give-up | give_up | share=0.4 x=60.0 for_s=6.0
slow | srv_slow | share=0.3 x=5.0 for_s=6.0
grey | srv_grey | share=0.3 x=0.5 for_s=6.0
grey-hang | srv_grey | share=0.3 x=0.4 for_s=6.0 how=hang
grey-reset | srv_grey | share=0.3 x=0.4 for_s=6.0 how=reset
grey-busy | srv_grey | share=0.3 x=0.4 for_s=6.0 how=busy
srv-cut | srv_cut | share=0.3 for_s=6.0 how=fronts
srv-cut-some | srv_cut | share=0.3 x=0.4 for_s=6.0 how=some
reuse | replace_with_reuse | share=0.3
node-slow | node_slow | share=0.3 x=5.0 for_s=6.0
clock | clock_step | share=0.5 x=4000.0 for_s=6.0
clock-back | clock_step | share=0.5 x=4000.0 for_s=6.0 how=back
reset-conns | reset_conns | share=0.4 x=0.6
"""
PLANS = """
release | release | share=0.6 gap_s=1.0
scale-out | scale_out | share=0.4 gap_s=2.0
scale-in | scale_in | share=0.25
spot | scale_in | share=0.25 how=spot x=2.0
roll | roll_term | share=0.6 x=1.0 gap_s=1.5
roll-busy | roll_term | share=0.6 how=busy gap_s=1.0
roll-store | roll_term | on=store share=1.0 x=1.0 gap_s=4.0
add | add_nodes |
add-store | add_nodes | on=store count=1
hup | hup | share=0.8 gap_s=2.0
config | config_change | how=route
weights | config_change | how=weights
big-config | big_config | count=450
retire | retire | for_s=9.0 how=wipe
"""
CLOSINGS = (
    "",
    'closing = { kind = "power_off_all", down_s = 0.7, how = "all taken" }',
    'closing = { kind = "wipe_after_ack", down_s = 1.0, how = "all oldest" }',
    'closing = { kind = "kill_all", down_s = 0.8 }',
)
# Edits of a site's head: pattern and replacement.
VARIANTS = {
    "": [],
    "far": [(r"cross_zone_ms = [\d.]+", "cross_zone_ms = 8.0")],
    "whole": [(r"\nthin = [\d.]+", "\nthin = 1.0")],
    "slow-disk": [(r"sync_ms = [\d.]+", "sync_ms = 15.0")],
    "small": [(r"memory_mb = \d+", "memory_mb = 110")],
    "few-slots": [
        (r"slots = 8,", "slots = 5,"),
        (r"slots = 19,|slots = 12,", "slots = 8,"),
        (r"batch = 8,", "batch = 5,"),
        (r"batch = (?:19|12),", "batch = 8,"),
    ],
    "small-queue": [(r"most = \d+", "most = 60000")],
    "slow-engines": [(r"step_ms = [\d.]+", "step_ms = 5.9")],
    "steady": [(r'shape = \{ kind = "steps", steps = \[.*?\]\] \}', 'shape = { kind = "steady" }')],
}


def main() -> None:
    arguments = parse_arguments()
    head, services = read_head(arguments.site, arguments.variant)
    randomness = random.Random(arguments.seed)
    days = list(make_days(services, randomness, arguments.pairs, arguments.only))
    arguments.out.mkdir(parents=True, exist_ok=True)
    for name in ("wire.json",):
        shutil.copy(arguments.site.parent / name, arguments.out / name)
    site = arguments.out / f"{arguments.site.stem}{arguments.variant}.toml"
    site.write_text(head + "\n".join(days))
    what = f"{arguments.pairs} mixes" if arguments.pairs else "each kind alone"
    why = f"trouble matrix {arguments.variant} seed {arguments.seed}: {what}"
    command = [arguments.bench, "score", str(site), "--jobs", "4", "--why", why]
    sys.exit(subprocess.run(command, check=False).returncode)


def parse_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("bench")
    parser.add_argument("site", type=Path)
    parser.add_argument("out", type=Path)
    parser.add_argument("--pairs", type=int, default=0)
    parser.add_argument("--variant", default="", choices=sorted(VARIANTS))
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--only", default="", help="names of kinds, with commas")
    return parser.parse_args()


def read_head(site: Path, variant: str) -> tuple[str, tuple[str, str]]:
    """Return the site's text before its days, edited for the variant, and its two services."""
    text = site.read_text()
    head = text[: text.index("\n[[day]]")] + "\n"
    for pattern, replacement in VARIANTS[variant]:
        head = re.sub(pattern, replacement, head)
    services = [service["name"] for service in tomllib.loads(text)["services"]]
    return head, (services[0], services[1])


def make_days(services: tuple[str, str], randomness: random.Random, pairs: int, only: str):
    """Yield the text of each day."""
    kinds = read_kinds(FAULTS, "faults") | read_kinds(PLANS, "plan")
    chosen = [name for name in kinds if not only or name in only.split(",")]
    if not pairs:
        for name in chosen:
            yield render_day(name, [kinds[name]], services, randomness)
    for number in range(pairs):
        names = randomness.sample(chosen, 3)
        entries = [kinds[name] for name in names]
        yield render_day(f"{number}-" + "+".join(names), entries, services, randomness)


def read_kinds(table: str, part: str) -> dict[str, tuple[str, str, str]]:
    """Return kind, fields and part of a day by name."""
    kinds = {}
    for line in table.strip().splitlines():
        name, kind, fields = (cell.strip() for cell in line.split("|"))
        kinds[name] = (kind, fields, part)
    return kinds


def render_entry(kind: str, fields: str, services: tuple[str, str], at: float) -> str:
    """Return the TOML of one entry of a day."""
    cells = [f'kind = "{kind}"', f"at = {at:.2f}"]
    for field in fields.split():
        name, _, value = field.partition("=")
        value = {"LM": services[0], "APP": services[1]}.get(value, value).replace(",", " ")
        is_number = value.replace(".", "").isdigit()
        cells.append(f"{name} = {value}" if is_number else f'{name} = "{value}"')
    return "{ " + ", ".join(cells) + " }"


def render_day(
    name: str, entries: list, services: tuple[str, str], randomness: random.Random
) -> str:
    parts: dict[str, list[str]] = {"faults": [], "plan": []}
    for kind, fields, part in entries:
        for _ in range(2):  # each fault occurs twice
            at = randomness.uniform(1.0, 28.0)
            parts[part].append(render_entry(kind, fields, services, at))
    closing = randomness.choice(CLOSINGS)
    return "\n".join(
        [
            "[[day]]",
            f'name = "{name}"',
            'slot = "trouble"',
            f"seed = {randomness.randrange(10**9)}",
            "one = 1.0",
            "zero = 0.0",
            "goal = { floor = 0.4 }",
            "labels = []",
            "wall = 4.0",
            "light = true",
            "faults = [" + ", ".join(parts["faults"]) + "]",
            "plan = [" + ", ".join(parts["plan"]) + "]",
            closing,
            "",
        ]
    )


if __name__ == "__main__":
    main()
