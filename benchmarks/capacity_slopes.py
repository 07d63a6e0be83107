"""Measures memory and processor time of each role at full size.

Prints JSON. The capacity page is computed from a committed run, ``docs/figures/slopes.json``.
"""

import gc
import json
import random
import time
import tracemalloc
from collections.abc import Callable

from wharfcart.batch.lease_scheduler import LeaseScheduler
from wharfcart.cluster.messages_pb2 import (
    AppendRequest,
    AppendResponse,
    Entry,
    Frame,
    JobCreate,
    JobRecord,
    LeasePoll,
    ReplicaBatch,
    ReplicaMessage,
    TakeTokens,
)
from wharfcart.configuration.schema import document_entries
from wharfcart.configuration.services import ServiceIndex
from wharfcart.configuration.validation import load_document
from wharfcart.experiments.example_fleets import Profile, example_document
from wharfcart.routing.router import Backend, BackendKind, Router
from wharfcart.storage.shard_state import BatchJob, ShardState

SERVERS = 1100
TENANTS = 270
DEPLOYMENTS = 8000
JOBS_PER_SHARD = 94  # 2,800 over 30 shards
ITEMS_PER_JOB = 5000


def measure_memory(make: Callable[[], object]) -> tuple[object, int]:
    gc.collect()
    tracemalloc.start()
    value = make()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return value, size


def measure_cpu_s(work: Callable[[], object], times: int) -> float:
    started_at = time.process_time()
    for _ in range(times):
        work()
    return (time.process_time() - started_at) / times


def router_figures() -> dict[str, float]:
    def make() -> Router:
        router = Router("zone-0", random.Random(1))
        for number in range(SERVERS):
            target = f"model-{number % 4}"
            targets = frozenset({target, *(f"{target}-adapter-{n}" for n in range(4))})
            backend = Backend(
                f"engine-{number}",
                BackendKind.ENGINE,
                f"10.1.{number // 250}.{number % 250}:8000",
                f"zone-{number % 7}",
                targets,
            )
            router.put_backend(backend, 0.0)
        return router

    router, memory = measure_memory(make)
    assert isinstance(router, Router)
    choose = measure_cpu_s(
        lambda: router.choose("model-1", f"t{random.randrange(TENANTS)}/x", 1.0, "prefix"), 2000
    )
    return {"router_memory_bytes": memory, "router_choose_seconds": choose}


def configuration_figures() -> dict[str, float]:
    document = load_document(json.dumps(example_document(Profile.REGISTRATION)), "example").unwrap()
    entries = document_entries(document)
    deployments = [key for key in entries if key.startswith("deployment/")]
    every = {
        f"{deployments[n % len(deployments)]}-{n}": entries[deployments[n % len(deployments)]]
        for n in range(DEPLOYMENTS)
    }

    def make() -> tuple[ServiceIndex, dict[str, Entry]]:
        index = ServiceIndex()
        spread = {
            key: Entry(key=key, value=value, revision=1) for key, value in (entries | every).items()
        }
        index.update(spread.values())
        return index, spread

    (index, spread), memory = measure_memory(make)  # type: ignore[misc]
    change = next(iter(spread.values()))
    update = measure_cpu_s(lambda: index.update([change]), 200)
    return {
        "configuration_entries": len(spread),
        "configuration_memory_bytes": memory,
        "configuration_change_seconds": update,
    }


def scheduler_figures() -> dict[str, float]:
    def make() -> ShardState:
        state = ShardState()
        for number in range(JOBS_PER_SHARD):
            create = JobCreate(job_id=f"job-{number}", tenant=f"t{number % 40}", deadline_ms=number)
            record = JobRecord(create=create, rows=ITEMS_PER_JOB, service_names=["s"])
            job = BatchJob(record, bytearray(ITEMS_PER_JOB), bytes(ITEMS_PER_JOB))
            state.jobs[f"job-{number}"] = job
        return state

    state, memory = measure_memory(make)
    assert isinstance(state, ShardState)
    scheduler = LeaseScheduler(state, lambda tenant: 1.0, lambda tenant, service: "model")
    choose = measure_cpu_s(lambda: scheduler.choose({"model"}, 64), 500)
    return {
        "scheduler_jobs": JOBS_PER_SHARD,
        "scheduler_memory_bytes_per_item": memory / (JOBS_PER_SHARD * ITEMS_PER_JOB),
        "scheduler_choose_seconds": choose,
    }


def message_figures() -> dict[str, float]:
    identity = "0123456789ab"
    heartbeat = ReplicaMessage(
        shard=20,
        sender=identity,
        target=identity,
        epoch=9,
        append_request=AppendRequest(
            previous_index=10**7, previous_epoch=9, commit_index=10**7, round=10**6
        ),
    )
    answer = ReplicaMessage(
        shard=20,
        sender=identity,
        target=identity,
        epoch=9,
        append_response=AppendResponse(accepted=True, match_index=10**7, round=10**6),
    )

    def framed(message: ReplicaMessage) -> int:
        return len(Frame(replica_batch=ReplicaBatch(messages=[message])).SerializeToString()) + 4

    poll = Frame(
        call_id=10**5,
        lease_poll=LeasePoll(
            shard=20,
            holder="node-123",
            targets=["model-1", *(f"model-1-adapter-{n}" for n in range(4))],
            most=64,
            held=["0" * 32] * 2,
            backend_id="engine-1000",
        ),
    )
    take = Frame(
        call_id=10**5, take_tokens=TakeTokens(bucket="tenant/x", wanted=1, rate=1, burst=1)
    )
    return {
        "heartbeat_bytes": framed(heartbeat),
        "heartbeat_answer_bytes": framed(answer),
        "lease_poll_bytes": len(poll.SerializeToString()) + 4,
        "take_tokens_bytes": len(take.SerializeToString()) + 4,
    }


def main() -> None:
    figures: dict[str, object] = {"benchmark": "capacity_slopes"}
    for part in (router_figures, configuration_figures, scheduler_figures, message_figures):
        figures |= part()
    print(json.dumps(figures, indent=2))


if __name__ == "__main__":
    main()
