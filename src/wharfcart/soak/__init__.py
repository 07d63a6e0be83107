"""Randomized fault soak: the real programs as processes, faults from outside, promises checked.

A seed draws a plan of faults (:mod:`.plan`); :mod:`.run` plays it against a fleet of processes
(:mod:`.fleet`) under load (:mod:`.workload`), and :mod:`.promises` judges what callers and back
ends saw. Seeds that failed are kept in ``tests/soak/kept_seeds.toml``.
"""
