"""Load, experiments, reports and plots."""
