"""Route table of the serving configuration."""

from wharfcart.configuration.serving import Route, RouteKind, ServingConfiguration, TrafficShare


def route(host: str, prefix: str, kind: RouteKind = RouteKind.REPEATABLE, **options) -> Route:
    return Route(
        f"{host}{prefix}", host, prefix, kind, (TrafficShare("s", 1),), 1.0, 0.1, **options
    )


def configuration_of(*routes: Route) -> ServingConfiguration:
    return ServingConfiguration(1, routes, {})


def test_the_longest_prefix_wins() -> None:
    routes = configuration_of(route("h", "/"), route("h", "/a/"), route("h", "/a/b/"))
    found = routes.route_for("h", "/a/b/c")
    assert found is not None and found.path_prefix == "/a/b/"
    found = routes.route_for("h", "/a/x")
    assert found is not None and found.path_prefix == "/a/"
    found = routes.route_for("h", "/z")
    assert found is not None and found.path_prefix == "/"


def test_a_prefix_matches_whole_segments_only() -> None:
    assert configuration_of(route("h", "/a/")).route_for("h", "/ab/c") is None
    assert configuration_of(route("h", "/a/")).route_for("h", "/a") is None


def test_routes_belong_to_one_host() -> None:
    assert configuration_of(route("h", "/a/")).route_for("g", "/a/b") is None


def test_repeatable_routes() -> None:
    assert route("h", "/").repeatable
    assert not route("h", "/", RouteKind.AT_MOST_ONCE).repeatable
    assert not route("h", "/", RouteKind.STREAM).repeatable
    assert route("h", "/", RouteKind.STREAM, resumable=True).repeatable
