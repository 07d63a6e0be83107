"""Parsing of the platform's documents and headers."""

import json

import pytest

from wharfcart.cluster.coordination import KeyChange
from wharfcart.cluster.messages_pb2 import ItemOutcome
from wharfcart.configuration.serving import RequestLimit, RouteKind
from wharfcart.http.connection import ResponseHead
from wharfcart.platform import batch_bodies, documents, http_headers

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r",
            "hostname": "h.example",
            "pathPrefix": "/a/",
            "kind": "streaming",
            "timeoutMs": 6000,
            "targetLatencyMs": 500,
            "priority": 0,
            "trafficSplit": [{"backend": "s", "weight": 90}, {"backend": "t", "weight": 10}],
            "maxAttempts": 2,
            "resumable": True,
        }
    ],
    "services": [{"name": "s", "maxConnections": 300, "engine": {"slots": 19}}],
    "limits": {"maxHeaderBytes": 100, "maxBodyBytes": 200, "idleTimeoutMs": 15000},
}


def test_configuration() -> None:
    configuration = documents.parse_configuration(json.dumps(CONFIGURATION).encode())
    (route,) = configuration.routes
    assert (route.kind, route.time_limit_s, route.max_backends) == (RouteKind.STREAM, 6.0, 2)
    assert [share.service for share in route.shares] == ["s", "t"]
    assert configuration.services["s"].connection_limit == 300
    assert configuration.limits.idle_timeout_s == 15.0


def test_server_entry() -> None:
    entry = {"backend": "s", "address": "10.0.0.9:80", "zone": "z", "slots": 3, "state": "draining"}
    instance = documents.parse_instance(KeyChange("servers/i-1", 4, json.dumps(entry).encode()))
    assert instance is not None
    assert (instance.instance_id, instance.host, instance.port) == ("i-1", "10.0.0.9", 80)
    assert not instance.accepting


@pytest.mark.parametrize("value", [b"", b"{}", b"[]", b'{"backend": 1}', None])
def test_unreadable_entry_gives_no_instance(value: bytes | None) -> None:
    assert documents.parse_instance(KeyChange("servers/i-1", 4, value)) is None


def test_headers_for_a_server() -> None:
    headers = [
        ("host", "h"),
        ("connection", "keep-alive"),
        ("X-Deadline-Ms", "8000"),
        ("X-Expect-Instance", "forged"),
        ("x-other", "kept"),
    ]
    passed = http_headers.headers_for_server(headers, "i-1", 1.5, 4, "")
    assert passed == [
        ("host", "h"),
        ("x-other", "kept"),
        ("x-deadline-ms", "1500"),
        ("x-expect-instance", "i-1"),
        ("last-event-id", "4"),
    ]


def test_gateway_replaces_tenant_header_and_removes_api_key() -> None:
    headers = [("host", "h"), ("X-Tenant", "forged"), ("Authorization", "Bearer k")]
    passed = http_headers.headers_for_server(
        http_headers.without_api_key(headers), "i-1", 1.5, None, "t"
    )
    assert passed[0] == ("host", "h") and passed[-1] == ("x-tenant", "t") and len(passed) == 4
    assert http_headers.headers_for_server(headers[:2], "i-1", 1.5, None, "")[0:1] == [
        ("host", "h")
    ]
    assert "forged" not in str(http_headers.headers_for_server(headers, "i-1", 1.5, None, ""))


@pytest.mark.parametrize(
    ("header", "key"),
    [("Bearer k1", "k1"), ("bearer  k1 ", "k1"), ("Basic k1", ""), ("k1", ""), ("", "")],
)
def test_api_key_from_authorization_header(header: str, key: str) -> None:
    assert http_headers.parse_api_key([("Authorization", header)]) == key


def test_tenants() -> None:
    tenants = [
        {"name": "a", "apiKeys": ["k1", "k2"], "priority": 0, "ratePerS": 5, "burst": 6},
        {"name": "b", "apiKeys": [], "ratePerS": 0},
    ]
    document = CONFIGURATION | {"tenants": tenants}
    index = documents.parse_configuration(json.dumps(document).encode()).tenants
    assert index is not None
    found = index.find_by_key("k2")
    assert found is not None and (found.name, found.priority) == ("a", 0)
    assert found.limit == RequestLimit(5.0, 6.0)
    assert (index.by_name["b"].limit, index.by_name["b"].priority) == (None, None)
    assert index.find_by_key("k3") is None
    assert "k1" not in repr(index.by_name)


def test_missing_and_empty_tenant_lists_differ() -> None:
    assert documents.parse_configuration(json.dumps(CONFIGURATION).encode()).tenants is None
    empty = documents.parse_configuration(json.dumps(CONFIGURATION | {"tenants": []}).encode())
    assert empty.tenants is not None


def test_request_metadata() -> None:
    facts = http_headers.parse_request_metadata(
        [
            ("x-request-id", "r"),
            ("x-deadline-ms", "8000"),
            ("x-token-count", "1460,80"),
            ("x-prompt-prefix", "5c:800,91:410,e4:250"),
        ]
    )
    assert facts.deadline_s == 8.0 and facts.output_tokens == 80
    assert [part.tokens for part in facts.prompt] == [800, 410, 250]


def test_unreadable_request_metadata_is_ignored() -> None:
    facts = http_headers.parse_request_metadata(
        [("x-deadline-ms", "soon"), ("x-prompt-prefix", "a:b,,c")]
    )
    assert facts.deadline_s is None and facts.prompt == ()


def test_only_a_server_response_proves_that_the_request_did_not_run() -> None:
    assert http_headers.was_not_run(ResponseHead(503, [("x-not-run", "1")]))
    assert http_headers.was_not_run(ResponseHead(421, []))
    assert not http_headers.was_not_run(ResponseHead(503, []))


def test_submission_and_page() -> None:
    body = json.dumps(
        {
            "requests": [
                {"id": "i", "path": "/p/", "headers": {"a": "b"}, "body": "YQ==", "tokens": 3}
            ]
        }
    )
    (item,) = batch_bodies.parse_items(body.encode())
    assert (item.item_id, item.body) == ("i", b"a")
    page = json.loads(batch_bodies.encode_result_page(4, 1, [ItemOutcome(item_id="i", text=b"x")]))
    assert page == {
        "total": 4,
        "nextPageToken": 2,
        "results": [{"id": "i", "state": "dead_letter", "message": "x"}],
    }


@pytest.mark.parametrize("body", [b"", b"{}", b"[]", b'{"requests": [{}]}'])
def test_malformed_submission_is_rejected(body: bytes) -> None:
    with pytest.raises(batch_bodies.BadSubmissionError):
        batch_bodies.parse_items(body)


def submission_of(*item_ids: object) -> bytes:
    return json.dumps({"requests": [{"id": one, "path": "/p/"} for one in item_ids]}).encode()


# Guards against a job that is accepted and never complete: of two items with one id only one
# could have a result.
def test_a_submission_with_an_item_id_twice_is_rejected_and_named() -> None:
    with pytest.raises(batch_bodies.BadSubmissionError, match="item 2: id 'a' occurs twice"):
        batch_bodies.parse_items(submission_of("a", "b", "a"))


# Guards against items that no result can name.
@pytest.mark.parametrize("item_id", ["", 3, None])
def test_an_item_without_an_id_is_rejected_and_named(item_id: object) -> None:
    with pytest.raises(batch_bodies.BadSubmissionError, match="item 1: "):
        batch_bodies.parse_items(submission_of("a", item_id))
