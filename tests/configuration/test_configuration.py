"""Documents, services, changes and revisioned maps."""

from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st
from returns.pipeline import is_successful

from wharfcart.cluster.messages_pb2 import Entry
from wharfcart.configuration.changes import ChangeRecord, plan_changes, plan_rollback
from wharfcart.configuration.revisioned_map import RevisionedMap
from wharfcart.configuration.schema import document_entries
from wharfcart.configuration.services import ServiceIndex
from wharfcart.configuration.validation import load_document
from wharfcart.experiments.example_fleets import Profile, example_document

ROOT = Path(__file__).parents[2]

INVALID_FIELDS = """
tenants:
  - name: t
    colour: red
  - name: T!
models: []
"""
INVALID_REFERENCES = """
tenants: [{name: t}, {name: t}]
models: [{name: m}]
templates:
  - name: x
    kind: model
    model: nothing
    system_prompt: "for {office} and {missing}"
    parameters:
      office: {type: string, max_length: 3}
      count: {type: integer, minimum: 2, default: 1}
deployments:
  - {name: d, tenant: t, template: x, parameters: {office: long, other: 1}}
  - {name: e, tenant: nobody, template: y}
"""


def _findings(text: str) -> dict[str, str]:
    findings = load_document(text, "doc").failure()
    return {finding.place: finding.reason for finding in findings}


def test_every_invalid_field_is_reported_with_its_line() -> None:
    found = _findings(INVALID_FIELDS)
    assert set(found) == {"tenants.0.colour (line 4)", "tenants.1.name (line 5)"}


def test_every_invalid_reference_is_reported() -> None:
    found = "\n".join(
        f"{place}: {reason}" for place, reason in _findings(INVALID_REFERENCES).items()
    )
    for text in (
        "tenants.1.name (line 2): 't' stands twice",
        "no model 'nothing'",
        "no parameter 'missing'",
        "templates.0.parameters.count.default (line 11): is below 2",
        "parameters.office (line 13): is longer than 3",
        "no such parameter",
        "no tenant 'nobody'",
        "no template 'y'",
    ):
        assert text in found


@pytest.mark.parametrize("text", ["a: [", "- 1", "tenants: 5", "\t"])
def test_text_that_is_no_document_is_a_finding(text: str) -> None:
    assert _findings(text)


@given(st.text(max_size=200))
def test_any_text_gives_findings_or_a_document(text: str) -> None:
    parsed = load_document(text, "doc")
    assert is_successful(parsed) or parsed.failure()


@pytest.mark.parametrize("profile", Profile)
def test_example_files_match_the_generator(profile: Profile) -> None:
    path = ROOT / "examples" / profile.value / "configuration.yaml"
    text = path.read_text(encoding="utf-8")
    assert yaml.safe_load(text) == example_document(profile)
    assert len(load_document(text, str(path)).unwrap().deployments) > 200


def _entries(document: dict[str, bytes], revision: int) -> list[Entry]:
    return [Entry(key=k, value=v, revision=revision) for k, v in document.items()]


def test_a_service_combines_template_and_values_and_follows_changes() -> None:
    document = load_document(yaml.safe_dump(example_document(Profile.SWAP)), "doc").unwrap()
    entries = document_entries(document)
    index = ServiceIndex()
    index.update(_entries(entries, 1))
    service = index.find_service("station-01", "charge")
    assert service is not None and not service.repeatable
    assert index.find_tenant("station-01-key") is not None
    assert index.find_tenant("station-01") is None
    assistant = index.find_service("station-02", "assistant")
    assert assistant is not None and "at station station-02 in" in assistant.system_prompt
    gone = Entry(key="deployment/station-01/charge", deleted=True, revision=2)
    index.update([gone])
    assert index.find_service("station-01", "charge") is None


_DOCUMENTS = st.dictionaries(st.sampled_from("abcdef"), st.sampled_from([b'{"v":1}', b'{"v":2}']))


@given(_DOCUMENTS, _DOCUMENTS, st.booleans())
def test_rollback_undoes_any_change(
    before: dict[str, bytes], wanted: dict[str, bytes], replace: bool
) -> None:
    plan = plan_changes(before, wanted, replace)
    after = dict(before)
    _apply(after, plan.entries())
    assert all(after[key] == value for key, value in wanted.items())
    record = ChangeRecord(revision=2, operation_id="o", changes=plan.changes)
    _apply(after, plan_rollback(after, [record]).entries())
    assert after == before


def _apply(document: dict[str, bytes], changes: dict[str, bytes | None]) -> None:
    for key, value in changes.items():
        if value is None:
            document.pop(key)
        else:
            document[key] = value


@given(st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 20)), max_size=30))
def test_entries_never_go_back(updates: list[tuple[str, int]]) -> None:
    known = RevisionedMap()
    newest: dict[str, int] = {}
    for key, revision in updates:
        before = known.revision
        known.merge([Entry(key=key, revision=revision)], revision)
        newest[key] = max(newest.get(key, 0), revision)
        assert known.revision >= before
    assert {key: entry.revision for key, entry in known.entries.items()} == newest
