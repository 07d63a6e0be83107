"""How many groups a fleet has, and what each of them grants."""

from collections import Counter

from wharfcart.configuration.instances import BackendInstance
from wharfcart.storage.layout import Layout, layout_from, plan_layout, plan_records

FULL_SIZE = 5


def disks(nodes: int, zones: int) -> dict[str, str]:
    return {f"disk-{n:03}": f"zone-{n % zones}" for n in range(nodes)}


def instance(name: str, zone: str) -> BackendInstance:
    return BackendInstance(name, "s", "127.0.0.1", 1, zone, 8, True)


def test_a_small_fleet_has_one_group_for_all_zones() -> None:
    layout = plan_layout(disks(3, 3))
    assert layout.groups == 1
    assert layout.group_of(instance("a", "zone-2")) == 0
    assert layout.group_of(instance("a", "elsewhere")) == 0
    assert layout.is_own(0, "zone-1")


def test_a_large_fleet_has_a_group_a_zone() -> None:
    layout = plan_layout(disks(30, 5))
    assert layout.groups == 5
    assert [layout.group_of(instance("a", f"zone-{n}")) for n in range(5)] == list(range(5))


def test_groups_that_share_a_zone_share_its_back_ends() -> None:
    layout = plan_layout(disks(24, 2))
    assert layout.groups == 4
    groups = Counter(layout.group_of(instance(f"i-{n}", "zone-0")) for n in range(400))
    assert set(groups) == {0, 2}
    assert min(groups.values()) > 150


def test_back_ends_of_a_zone_that_no_group_has_are_spread_over_all() -> None:
    layout = plan_layout(disks(30, 5))
    assert {layout.group_of(instance(f"i-{n}", "new")) for n in range(100)} == set(range(5))


def test_a_layout_reads_as_it_was_written() -> None:
    layout = plan_layout(disks(30, 3))
    assert layout_from(layout.to_bytes()) == layout


def test_disks_are_spread_over_groups_and_zones() -> None:
    zones = disks(30, 5)
    layout = plan_layout(zones)
    records = plan_records(layout, zones, FULL_SIZE)
    assert len(records) == layout.groups
    uses = Counter(identity for record in records for identity in record.members)
    assert max(uses.values()) == 1
    for group, record in enumerate(records):
        assert len(record.members) == FULL_SIZE
        assert record.leader in record.members
        assert {zones[member] for member in record.members} == set(zones.values())
        assert layout.is_own(group, zones[record.leader])
    assert len({record.leader for record in records}) == len(records)


def test_few_disks_hold_every_group() -> None:
    zones = disks(3, 3)
    (record,) = plan_records(Layout((("zone-0", "zone-1", "zone-2"),)), zones, 3)
    assert record.members == frozenset(zones)
