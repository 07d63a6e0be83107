"""Ports of fleets that run at the same time."""

import subprocess
import sys

from wharfcart.experiments import dev_fleet


def test_a_port_is_reserved_against_other_processes() -> None:
    """Guards against a server that cannot restart: another fleet took its port meanwhile."""
    reserved = [dev_fleet.free_ports(1) for _ in range(10)]
    program = (
        "from wharfcart.experiments.dev_fleet import _reserve\n"
        f"print(any(_reserve([port]) for port in {reserved}))"
    )
    output = subprocess.run([sys.executable, "-c", program], check=True, capture_output=True).stdout
    assert output == b"False\n"


def test_a_port_is_reserved_once() -> None:
    ports = [dev_fleet.free_ports(2) for _ in range(50)]
    taken = {port + offset for port in ports for offset in range(2)}
    assert len(taken) == 100


def test_ports_of_a_range_that_is_partly_reserved_stay_free() -> None:
    """Guards against running out of ports: each failed attempt would keep some."""
    first = dev_fleet.free_ports(1)
    before = len(dev_fleet._locks_by_port)
    assert not dev_fleet._reserve([first - 1, first])
    assert len(dev_fleet._locks_by_port) == before
