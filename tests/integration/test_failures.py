"""Runs the scenarios of failures.feature."""

from pytest_bdd import scenarios

scenarios("features/failures.feature")
