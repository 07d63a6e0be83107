"""Where data may be: what a route and a tenant allow together, and as a message."""

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


def test_a_route_and_a_tenant_bind_both() -> None:
    both = residence_in(["west", "east"]).intersect(residence_in(["east", "south"]))
    assert both == residence_in(["east"])
    assert ANYWHERE.intersect(both) == both.intersect(ANYWHERE) == both


def test_nothing_is_allowed_where_they_have_no_region_in_common() -> None:
    nowhere = residence_in(["west"]).intersect(residence_in(["east"]))
    assert nowhere.is_restricted
    assert not nowhere.allows(WEST)
    assert not nowhere.allows(EAST)
    assert not nowhere.allows(None)


def test_a_region_that_is_not_known_is_not_in_a_bound_residence() -> None:
    assert ANYWHERE.allows(None)
    assert not residence_in(["west"]).allows(None)


def test_a_residence_without_any_region_stays_bound_as_it_travels() -> None:
    for residence in (ANYWHERE, residence_in(["west"]), Residence(frozenset())):
        message = residence_to_message(residence)
        assert residence_from_message(SlotRequest(residence=message)) == residence
        assert residence_from_message(RequestJob(residence=message)) == residence
