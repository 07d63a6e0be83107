"""The official OpenAI client works with the gateway."""

import json
import time

import openai
import pytest

from wharfcart.emulator.engine_core import answer_text
from wharfcart.experiments.dev_fleet import DevFleet


@pytest.fixture
def client(fleet: DevFleet) -> openai.OpenAI:
    return openai.OpenAI(base_url=f"{fleet.urls[0]}/v1", api_key="dealer-01-key", max_retries=0)


def test_chat_completion(client: openai.OpenAI) -> None:
    answer = client.chat.completions.create(
        model="notices", messages=[{"role": "user", "content": "who sells"}]
    )
    assert answer.choices[0].message.content == answer_text("who sells", 48)
    assert answer.usage is not None and answer.usage.completion_tokens > 0


def test_streamed_chat_completion(client: openai.OpenAI) -> None:
    stream = client.chat.completions.create(
        model="notices", messages=[{"role": "user", "content": "who buys"}], stream=True
    )
    text = "".join(chunk.choices[0].delta.content or "" for chunk in stream)
    assert text.strip() == answer_text("who buys", 48)


def test_completion(client: openai.OpenAI) -> None:
    answer = client.completions.create(model="dossiers", prompt="mass of the vehicle")
    assert answer.choices[0].text


def test_models_are_the_tenants_services(client: openai.OpenAI) -> None:
    names = {model.id for model in client.models.list()}
    assert names == {"notices", "dossiers", "plates", "status", "register"}


def test_batch_from_file_to_output(client: openai.OpenAI) -> None:
    lines = [
        {
            "custom_id": f"c{number}",
            "method": "POST",
            "url": "/v1/chat/completions",
            "body": {"model": "plates", "messages": [{"role": "user", "content": f"p{number}"}]},
        }
        for number in range(30)
    ]
    data = "\n".join(json.dumps(line) for line in lines).encode()
    uploaded = client.files.create(file=("items.jsonl", data), purpose="batch")
    job = client.batches.create(
        input_file_id=uploaded.id,
        endpoint="/v1/chat/completions",
        completion_window="24h",
        metadata={"shift": "night"},
    )
    deadline = time.monotonic() + 30
    while job.status != "completed" and time.monotonic() < deadline:
        job = client.batches.retrieve(job.id)
    assert job.status == "completed"
    assert job.metadata == {"shift": "night"}
    assert job.id in {listed.id for listed in client.batches.list()}
    assert job.output_file_id is not None
    results = [
        json.loads(line) for line in client.files.content(job.output_file_id).text.splitlines()
    ]
    assert sorted(result["custom_id"] for result in results) == sorted(
        line["custom_id"] for line in lines
    )


def test_unknown_model_is_a_not_found_error(client: openai.OpenAI) -> None:
    with pytest.raises(openai.NotFoundError) as caught:
        client.chat.completions.create(
            model="nothing", messages=[{"role": "user", "content": "hello"}]
        )
    assert caught.value.response.headers["X-Wharfcart-Outcome"] == "not_run"


def test_wrong_key_is_an_authentication_error(fleet: DevFleet) -> None:
    client = openai.OpenAI(base_url=f"{fleet.urls[0]}/v1", api_key="wrong", max_retries=0)
    with pytest.raises(openai.AuthenticationError):
        client.models.list()
