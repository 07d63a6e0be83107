"""Residences: intersection, restrictions and encoding in messages."""

from wharfcart.cluster.messages_pb2 import RequestJob, SlotRequest
from wharfcart.cluster.topology import RegionName
from wharfcart.configuration.residence import (
    ANYWHERE,
    Residence,
    residence_from_message,
    residence_in,
    residence_to_message,
)

WEST, EAST = RegionName("west"), RegionName("east")


def test_residences_of_a_route_and_a_tenant_intersect() -> None:
    both = residence_in(["west", "east"]).intersect(residence_in(["east", "south"]))
    assert both == residence_in(["east"])
    assert ANYWHERE.intersect(both) == both.intersect(ANYWHERE) == both


def test_an_empty_intersection_allows_no_region() -> None:
    nowhere = residence_in(["west"]).intersect(residence_in(["east"]))
    assert nowhere.is_restricted
    assert not nowhere.allows(WEST)
    assert not nowhere.allows(EAST)
    assert not nowhere.allows(None)


def test_an_unknown_region_is_outside_a_restricted_residence() -> None:
    assert ANYWHERE.allows(None)
    assert not residence_in(["west"]).allows(None)


def test_a_message_keeps_a_residence_without_regions() -> None:
    for residence in (ANYWHERE, residence_in(["west"]), Residence(frozenset())):
        message = residence_to_message(residence)
        assert residence_from_message(SlotRequest(residence=message)) == residence
        assert residence_from_message(RequestJob(residence=message)) == residence
