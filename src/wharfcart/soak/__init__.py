"""Randomized fault soak: a fleet of real processes under load, injected faults, checked invariants.

A seed determines a plan of faults (:mod:`.plan`). :mod:`.run` executes it against a fleet of
processes (:mod:`.fleet`) under load (:mod:`.workload`), and :mod:`.invariants` checks what callers
and back ends recorded. ``tests/soak/kept_seeds.toml`` lists seeds that failed, for replay.
"""
