"""Simulations, experiments, load generators, reports and plots."""
