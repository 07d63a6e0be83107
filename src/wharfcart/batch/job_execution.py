"""Runs the items of a group's jobs while this node leads the group.

Items run in slots that the granting nodes offer. The granting nodes preempt items when online
requests need their slots; a preempted item resumes after its last event. Results are appended in
the order of their arrival and are committed once a quorum of disks has them.
"""

import asyncio
import math
from collections.abc import Callable, Collection, Iterator
from itertools import islice
from time import time

from wharfcart.batch.item_run import ItemAttempt, ItemProgress, ItemRunner, RunOutcome
from wharfcart.batch.item_waiting import (
    REPORT_INTERVAL_S,
    ItemWait,
    ItemWaitReport,
    WaitReason,
)
from wharfcart.batch.job_retention import JobRetention
from wharfcart.batch.job_scheduler import JobScheduler, ScheduledJob
from wharfcart.batch.placed_items import PlacedItem, PlacedItems
from wharfcart.batch.retry_policy import has_failed_permanently
from wharfcart.batch.run_estimate import RunEstimate
from wharfcart.clock import monotonic
from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.configuration.instances import SoftwareVersion
from wharfcart.configuration.residence import Residence, residence_from_message
from wharfcart.configuration.serving import Route, ServingConfiguration
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.observability.tasks import BackgroundTasks, record_failure
from wharfcart.routing.backend_selection import BackendSelector, InstanceState
from wharfcart.slots.events import PreemptionCause, RunResult
from wharfcart.slots.item_slots import ItemDemand, ItemSlot, ItemSlots
from wharfcart.slots.session import HeldSlot
from wharfcart.slots.urgency import Urgency
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.replicated_job import ReplicatedJob

# Longest time with open jobs, and shortest time, between two demand reports.
DEMAND_INTERVAL_S = 0.1
MIN_DEMAND_INTERVAL_S = 0.005
# Items counted in one demand report; more slots never become free at once.
MAX_COUNTED_ITEMS = 256
# Items whose waits are reported; of more, the metrics count these.
MAX_REPORTED_ITEMS = 1024
# Demand reports of up to this many items name the back ends that none of the items may use.
MAX_ITEMS_FOR_EXCLUSION = 8
# Lifetime of the cached versions of a service, since each offer of a slot reads them.
VERSIONS_TTL_S = 0.05
REFUSED_RETRY_DELAY_S = 0.15
# Doubles with each further interrupted run of the item. Back ends that crash under it again and
# again get time to restart; it is never held back for longer, as it may be a bystander each time.
MIN_INTERRUPTED_RETRY_DELAY_S = 0.05
# Interrupted runs that are repeated at once, as lost answers are common.
MAX_QUICK_RETRIES = 5
MAX_INTERRUPTED_RETRY_DELAY_S = 4.0
MAX_DOUBLINGS = 16
FAILED_RETRY_DELAY_S = 0.3
# After an unexpected error; doubles with each one of the item.
MIN_ERROR_RETRY_DELAY_S = 0.3
MAX_ERROR_RETRY_DELAY_S = 10.0
PREEMPTED_RETRY_DELAY_S = 0.05
# Tolerates a clock difference between the accepting gateway and a later leader.
GIVE_UP_MARGIN_S = 6.0
DELETION_INTERVAL_S = 5.0


# Name of the task in logs and metrics.
ITEM_RUN_TASK = "JobExecution._run_item"
NO_DEMAND = ItemDemand(0, 0, Urgency(0.0, 0.0))

# Service, residence and version of waiting items.
DemandKey = tuple[str, Residence, SoftwareVersion | None]


class JobExecution:
    """Execution of one group's jobs on the group's leader.

    Args:
        group: the job group.
        runner: sends items to back ends.
        selector: tracks the state of the back ends on this node.
        configuration: returns the current configuration, or None.
        slots: receives slot offers and preemptions for items.
        keep_jobs_s: time for which a completed or cancelled job stays readable.
        log: decision log.
        metrics: counters of items.
    """

    def __init__(
        self,
        group: JobGroup,
        runner: ItemRunner,
        selector: BackendSelector,
        configuration: Callable[[], ServingConfiguration | None],
        slots: ItemSlots,
        keep_jobs_s: float,
        log: DecisionLog,
        metrics: ServingMetrics,
    ) -> None:
        self._group = group
        self._runner = runner
        self._selector = selector
        self._configuration = configuration
        self._slots = slots
        self._retention = JobRetention(keep_jobs_s)
        self._log = log
        self._metrics = metrics
        self._scheduler = JobScheduler(group.partial_texts)
        self._placed = PlacedItems()
        self._estimates_by_service: dict[str, RunEstimate] = {}
        self._versions_by_service: dict[str, tuple[float, frozenset[SoftwareVersion]]] = {}
        self._reported_demand: set[DemandKey] = set()
        self._tasks = BackgroundTasks()
        self._wake_up = asyncio.Event()
        self._next_deletion_at = 0.0
        self._wait_report = ItemWaitReport(log, metrics)
        self._next_wait_report_at = 0.0
        self._offered_at: dict[str, float] = {}  # by service
        slots.on_offer = self._handle_offer
        slots.on_preempted = self._preempt

    # ---- calls of the job service ----

    def job_accepted(self, record: ReplicatedJob) -> None:
        """Start a committed job."""
        known = self._scheduler.jobs.get(record.job.job_id)
        if known is None or known.submission != record.submission:
            self._add_job(record, set())
            self._wake_up.set()

    def job_cancelled(self, job_id: str) -> None:
        """Stop all items of a job at once."""
        scheduled = self._scheduler.remove(job_id)
        self._group.partial_texts.remove_job(job_id)
        if scheduled is None:
            return
        for item_id in list(scheduled.running):
            placed = self._placed.get(scheduled.key_of(item_id))
            if placed is not None:
                placed.stop()

    # ---- slots ----

    def _handle_offer(self, slot: ItemSlot) -> None:
        """Start the first suitable item in an offered slot, or release the slot."""
        self._offered_at[slot.service] = monotonic()
        state = self._selector.state(slot.instance_id)
        found = None if state is None else self._next_item(slot.service, state)
        if state is None or self._selector.exclusion_reason(state) or found is None:
            self._metrics.item_offers.add("no_item" if state is not None else "no_backend")
            self._slots.release(slot)
            return
        self._metrics.item_offers.add("used")
        scheduled, item = found
        self._start_item(scheduled, item, state, slot)
        self._wake_up.set()

    def _preempt(self, slot: HeldSlot, cause: PreemptionCause) -> None:
        """Stop the item in a slot; it resumes later after its last event."""
        placed = self._placed.get_by_slot(slot)
        if placed is None or placed.is_stopping:
            return
        urgency = self._urgency(placed.scheduled, placed.item, placed.slot.service)
        self._metrics.items_preempted.add(cause.value)
        self._log.write(
            Event.ITEM_YIELDED,
            item=placed.item.item_id,
            job=placed.scheduled.job.job_id,
            backend=placed.slot.instance_id,
            cause=cause.value,
            group=slot.group,
            slack_s=round(urgency.slack_s, 2),
        )
        placed.stop()

    def _next_item(
        self, service: str, state: InstanceState
    ) -> tuple[ScheduledJob, RequestItem] | None:
        """Return the first item that may start at a back end, by the due times of the jobs."""
        now = monotonic()
        instance_id = state.instance.instance_id
        served = self._served_versions(service, now)
        for scheduled in self._jobs_by_due_time(service):
            residence = self._residence_of(scheduled.job)
            if self._selector.eligibility.exclusion_reason(state.instance, residence) is not None:
                continue
            for item in self._startable_items(scheduled, now):
                version = self._awaited_version(scheduled, item, service, served, now)
                if version not in (None, state.instance.version):
                    continue
                if instance_id not in self._excluded_instances(scheduled, item, service, now):
                    return scheduled, item
        return None

    def _startable_items(self, scheduled: ScheduledJob, now: float) -> Iterator[RequestItem]:
        """Yield the items of a job that may start now, in order."""
        if not self._group.is_confirmed_since_resume:
            return
        for item in scheduled.waiting.values():
            if self._hold_reason(scheduled, item, now) is None:
                yield item

    def _hold_reason(
        self, scheduled: ScheduledJob, item: RequestItem, now: float
    ) -> WaitReason | None:
        """Return why an item may start at no back end, or None if it may.

        While leadership is unconfirmed after a suspension of the machine, another node may lead.
        """
        if not self._group.is_confirmed_since_resume:
            return WaitReason.UNCONFIRMED
        if now < scheduled.progress_of(item.item_id).not_before:
            return WaitReason.BACKOFF
        return None

    def _jobs_by_due_time(self, service: str) -> list[ScheduledJob]:
        """Return the jobs of a service with waiting items, in the order of their start."""

        def can_meet_objective(scheduled: ScheduledJob) -> bool:
            item = next(iter(scheduled.waiting.values()))
            return not self._urgency(scheduled, item, service).is_too_late

        jobs = [
            scheduled
            for scheduled in self._scheduler.jobs_with_waiting_items()
            if self._service_of(scheduled.job) == service
        ]
        return self._scheduler.by_due_time(jobs, can_meet_objective)

    def _excluded_instances(
        self, scheduled: ScheduledJob, item: RequestItem, service: str, now: float
    ) -> set[str]:
        """Return the back ends that failed or last ran an item; empty if no other is usable."""
        progress = scheduled.progress_of(item.item_id)
        excluded = progress.failed_instance_ids | ({progress.last_instance_id} - {""})
        if not excluded:
            return excluded
        residence = self._residence_of(scheduled.job)
        usable = self._selector.usable_instances(service, now, excluded, residence=residence)
        return excluded if usable else set()

    def _served_versions(self, service: str, now: float) -> frozenset[SoftwareVersion]:
        """Return the software versions of the back ends that accept items."""
        listed_at, versions = self._versions_by_service.get(service, (-math.inf, frozenset()))
        if now - listed_at >= VERSIONS_TTL_S:
            accepting = self._selector.accepting_instances(service, now)
            versions = frozenset(state.instance.version for state in accepting)
            self._versions_by_service[service] = now, versions
        return versions

    def _awaited_version(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        service: str,
        served: Collection[SoftwareVersion],
        now: float,
    ) -> SoftwareVersion | None:
        """Return the version that an item waits for; None if it may run at any.

        An item with a text goes on at the version that wrote it. It begins anew once that version
        has gone, or once it has waited for as long as the repeated events take.
        """
        progress = scheduled.progress_of(item.item_id)
        text = progress.partial_text
        if not text.texts or text.version not in served:
            return None
        if progress.restart_at is None:
            repeat_s = self._estimate(service).repeat_s(
                len(text.texts), scheduled.job.objective_s, progress.run_time_s
            )
            progress.restart_at = now + repeat_s
        return text.version if now < progress.restart_at else None

    def _report_demand(self) -> None:
        """Report waiting items to the granting nodes, by service, residence and version."""
        current_demand: dict[DemandKey, ItemDemand] = {}
        for service, residence in {
            (service, self._residence_of(scheduled.job))
            for scheduled in self._scheduler.jobs_with_waiting_items()
            if (service := self._service_of(scheduled.job))
        }:
            for version, demand in self._demands(service, residence).items():
                current_demand[service, residence, version] = demand
        for key in self._reported_demand | current_demand.keys():
            service, residence, version = key
            self._slots.report_demand(
                service, current_demand.get(key, NO_DEMAND), residence, version
            )
        self._reported_demand = set(current_demand)

    def _demands(
        self, service: str, residence: Residence
    ) -> dict[SoftwareVersion | None, ItemDemand]:
        """Return the waiting items by the version that they wait for."""
        now = monotonic()
        startable = (
            (scheduled, item)
            for scheduled in self._jobs_by_due_time(service)
            if self._residence_of(scheduled.job) == residence
            for item in self._startable_items(scheduled, now)
        )
        served = self._served_versions(service, now)
        found: dict[SoftwareVersion | None, list[tuple[ScheduledJob, RequestItem]]] = {None: []}
        for scheduled, item in islice(startable, MAX_COUNTED_ITEMS):
            version = self._awaited_version(scheduled, item, service, served, now)
            found.setdefault(version, []).append((scheduled, item))
        return {version: self._demand_of(items, service, now) for version, items in found.items()}

    def _demand_of(
        self, found: list[tuple[ScheduledJob, RequestItem]], service: str, now: float
    ) -> ItemDemand:
        if not found:
            return NO_DEMAND
        urgencies = [self._urgency(scheduled, item, service) for scheduled, item in found]
        excluded: set[str] = set()
        if len(found) <= MAX_ITEMS_FOR_EXCLUSION:
            excluded = set.intersection(
                *(
                    self._excluded_instances(scheduled, item, service, now)
                    for scheduled, item in found
                )
            )
        urgent = sum(urgency.is_urgent for urgency in urgencies)
        return ItemDemand(len(found), urgent, urgencies[0], frozenset(excluded))

    # ---- waiting items ----

    def _report_waiting_items(self) -> None:
        """Report periodically which items wait, and why."""
        now = monotonic()
        if now < self._next_wait_report_at:
            return
        self._next_wait_report_at = now + REPORT_INTERVAL_S
        usable: dict[tuple[str, Residence], int] = {}
        waits = (
            wait
            for scheduled in self._scheduler.jobs_with_waiting_items()
            for wait in self._waits_of(scheduled, usable, now)
        )
        self._wait_report.report(islice(waits, MAX_REPORTED_ITEMS))

    def _waits_of(
        self,
        scheduled: ScheduledJob,
        usable_by_key: dict[tuple[str, Residence], int],
        now: float,
    ) -> Iterator[ItemWait]:
        """Yield the waits of a job's items; those that ran before are in front.

        Args:
            scheduled: the job.
            usable_by_key: usable back ends by service and residence, counted once in each report.
            now: monotonic time in seconds.
        """
        service = self._service_of(scheduled.job) or ""
        residence = self._residence_of(scheduled.job)
        usable = usable_by_key.get((service, residence))
        if usable is None:
            usable = len(self._selector.usable_instances(service, now, residence=residence))
            usable_by_key[service, residence] = usable
        offered_at = self._offered_at.get(service)
        for item in scheduled.waiting.values():
            progress = scheduled.progress_of(item.item_id)
            yield ItemWait(
                scheduled.job.job_id,
                item.item_id,
                self._wait_reason(scheduled, item, service, usable, now),
                now - max(progress.last_run_at, scheduled.added_at),
                progress.attempts,
                progress.last_instance_id,
                usable,
                None if offered_at is None else now - offered_at,
            )

    def _wait_reason(
        self, scheduled: ScheduledJob, item: RequestItem, service: str, usable: int, now: float
    ) -> WaitReason:
        """Return why an item is not being run."""
        hold_reason = self._hold_reason(scheduled, item, now)
        if hold_reason is not None:
            return hold_reason
        if not service:
            return WaitReason.NO_ROUTE
        if not usable:
            return WaitReason.NO_BACKEND
        served = self._served_versions(service, now)
        if self._awaited_version(scheduled, item, service, served, now) is not None:
            return WaitReason.VERSION
        return WaitReason.NO_SLOT

    def _urgency(self, scheduled: ScheduledJob, item: RequestItem, service: str) -> Urgency:
        """Return the time until an item is due and its estimated remaining run time."""
        progress = scheduled.progress_of(item.item_id)
        remaining_s = self._estimate(service).remaining_s(
            len(progress.partial_text.texts), scheduled.job.objective_s, progress.run_time_s
        )
        return Urgency(scheduled.due_at - monotonic(), remaining_s)

    def _estimate(self, service: str) -> RunEstimate:
        return self._estimates_by_service.setdefault(service, RunEstimate())

    # ---- leadership ----

    def start(self) -> None:
        """Start running the jobs that this leader took over."""
        leadership = self._group.leadership
        assert leadership is not None
        for record in leadership.jobs.values():
            self._learn_item_sizes(record)
            if not record.is_finished:
                self._add_job(record, {result.item_id for result in record.results})
        self._tasks.supervise(self._run)

    def _learn_item_sizes(self, record: ReplicatedJob) -> None:
        """Learn the size of a job's items from the results of earlier leaders."""
        service = self._service_of(record.job)
        if service is None:
            return
        for result in record.results:
            if result.succeeded:
                self._estimate(service).record_earlier_result(result.text.count(b"\n") + 1)

    def stop(self) -> None:
        """Stop all items after the loss of leadership."""
        self._tasks.cancel()
        self._scheduler = JobScheduler(self._group.partial_texts)
        self._retention = JobRetention(self._retention.keep_s)
        self._reported_demand = set()
        self._wait_report.report(())
        for placed in self._placed.clear():
            if not placed.started:
                self._selector.record_finished(placed.state, placed.send_id)

    def _add_job(self, record: ReplicatedJob, finished_item_ids: set[str]) -> None:
        age_s = max(0.0, time() - record.job.accepted_ms / 1000)
        now = monotonic()
        self._scheduler.add(
            record.job, finished_item_ids, now - age_s, record.submission, added_at=now
        )

    async def _run(self) -> None:
        while True:
            self._wake_up.clear()
            self._give_up_expired_jobs()
            self._report_demand()
            self._report_waiting_items()
            self._metrics.open_items.set(self._scheduler.open_items)
            self._metrics.replicas_behind.set(self._group.replicas_behind)
            self._delete_old_jobs()
            try:
                async with asyncio.timeout(DEMAND_INTERVAL_S if self._scheduler.jobs else 1.0):
                    await self._wake_up.wait()
            except TimeoutError:
                continue
            # Combines wake-ups that arrive together.
            await asyncio.sleep(MIN_DEMAND_INTERVAL_S)

    def _give_up_expired_jobs(self) -> None:
        now = monotonic()
        for scheduled in self._scheduler.jobs_with_waiting_items():
            if now > scheduled.give_up_at + GIVE_UP_MARGIN_S:
                self._give_up_waiting_items(scheduled)

    def _route_of(self, job: RequestJob) -> Route | None:
        configuration = self._configuration()
        if configuration is None:
            return None
        return configuration.route_for(job.host, job.path)

    def _service_of(self, job: RequestJob) -> str | None:
        """Return the service that runs a job's items; None if no route matches."""
        route = self._route_of(job)
        return None if route is None else route.shares[0].service

    def _residence_of(self, job: RequestJob) -> Residence:
        """Return the regions in which a job's items may run.

        Intersects the residence at acceptance with the current one of the route and tenant.
        """
        accepted_residence = residence_from_message(job)
        configuration = self._configuration()
        route = self._route_of(job)
        if configuration is None or route is None:
            return accepted_residence
        return accepted_residence.intersect(configuration.residence_of(route, job.tenant))

    def _start_item(
        self, scheduled: ScheduledJob, item: RequestItem, state: InstanceState, slot: ItemSlot
    ) -> None:
        urgency = self._urgency(scheduled, item, slot.service)
        text = scheduled.progress_of(item.item_id).partial_text
        scheduled.progress_of(item.item_id).restart_at = None
        self._scheduler.start_item(scheduled, item)
        placed = PlacedItem(
            scheduled, item, state, self._selector.record_sent(state, monotonic()), slot
        )
        self._placed.add(placed)
        placed.task = self._tasks.spawn(self._run_item(placed))
        self._slots.report_started(slot, urgency)
        self._log.write(
            Event.ITEM_STARTED,
            item=item.item_id,
            job=scheduled.job.job_id,
            backend=state.instance.instance_id,
            version=state.instance.version,
            group=slot.group,
            after_event=text.last_event,
            text_version=text.version if text.texts else None,
            text_spans=text.spans,
            due_in_s=round(urgency.until_due_s, 2),
            slack_s=round(urgency.slack_s, 2),
        )

    async def _run_item(self, placed: PlacedItem) -> None:
        """Run an item in its slot; however the run ends, the item then waits or has a result."""
        scheduled, item = placed.scheduled, placed.item
        progress = scheduled.progress_of(item.item_id)
        try:
            outcome = await self._run_in_slot(placed, progress)
            self._handle_outcome(scheduled, item, progress, outcome)
        except asyncio.CancelledError:
            if not self._scheduler.is_scheduled(scheduled):
                raise
            progress.not_before = monotonic() + PREEMPTED_RETRY_DELAY_S
            self._scheduler.requeue(scheduled, item)
        except Exception as error:
            record_failure(ITEM_RUN_TASK, error)
            self._retry_after_error(scheduled, item, progress, error)
        finally:
            self._wake_up.set()

    async def _run_in_slot(self, placed: PlacedItem, progress: ItemProgress) -> RunOutcome:
        """Run an item and release its slot."""
        started_at = monotonic()
        restarts = progress.partial_text.restarts
        backend_result = RunResult.UNKNOWN
        try:
            outcome = await self._attempt_item(placed, progress)
            backend_result = self._assess_backends(progress, placed.slot.instance_id, outcome)
        finally:
            progress.last_run_at = monotonic()
            progress.run_time_s += progress.last_run_at - started_at
            if progress.partial_text.restarts != restarts:
                self._metrics.items_restarted.add(placed.slot.service)
            placed.scheduled.running.discard(placed.item.item_id)
            self._placed.remove(placed)
            self._slots.release(placed.slot, backend_result)
        self._metrics.item_runs.add(outcome.value)
        if outcome is RunOutcome.SUCCEEDED:
            events = len(progress.partial_text.texts)
            self._estimate(placed.slot.service).record_finished(events, progress.run_time_s)
        return outcome

    def _retry_after_error(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        progress: ItemProgress,
        error: Exception,
    ) -> None:
        """Let an item wait after an unexpected error, longer after each one.

        Nothing tells whether the item, the back end or this node is at fault. So the item runs at
        another back end, and is given up no sooner than at the time limit of its job.
        """
        if not self._scheduler.is_scheduled(scheduled):
            return
        delay_s = min(
            MAX_ERROR_RETRY_DELAY_S, progress.error_delay_s * 2 or MIN_ERROR_RETRY_DELAY_S
        )
        progress.error_delay_s = delay_s
        progress.not_before = monotonic() + delay_s
        self._scheduler.requeue(scheduled, item)
        self._metrics.item_runs.add(RunOutcome.ERROR.value)
        self._log.write(
            Event.ITEM_RETRIED,
            item=item.item_id,
            job=scheduled.job.job_id,
            backend=progress.last_instance_id,
            cause=RunOutcome.ERROR.value,
            error=type(error).__name__,
            delay_s=delay_s,
            last_event=progress.partial_text.last_event,
        )

    async def _attempt_item(self, placed: PlacedItem, progress: ItemProgress) -> RunOutcome:
        if placed.is_stopping:
            self._selector.record_finished(placed.state, placed.send_id)
            raise asyncio.CancelledError
        placed.started = True
        job = placed.scheduled.job
        give_up_at = placed.scheduled.give_up_at
        return await self._runner.run(
            ItemAttempt(
                placed.item,
                job.host,
                job.tenant,
                placed.state,
                placed.send_id,
                progress,
                give_up_at,
            )
        )

    def _assess_backends(
        self, progress: ItemProgress, instance_id: str, outcome: RunOutcome
    ) -> RunResult:
        """Return the result for the back end of an attempt.

        A failure may be the fault of the item itself, so it counts against the back ends only
        after the item has succeeded at another one.
        """
        if outcome is RunOutcome.FAILED:
            progress.partial_text.failed_at.append(instance_id)
        elif outcome is RunOutcome.INTERRUPTED:
            return RunResult.BACKEND_FAILED
        elif outcome is RunOutcome.SUCCEEDED:
            for failed_id in progress.failed_instance_ids:
                self._slots.report_backend_failure(failed_id)
            return RunResult.BACKEND_OK
        return RunResult.UNKNOWN

    def _has_failed_permanently(self, scheduled: ScheduledJob, progress: ItemProgress) -> bool:
        """Whether an item has used up its attempts."""
        trusted_backends = sum(
            not self._slots.is_avoided(failed_id) for failed_id in progress.failed_instance_ids
        )
        return has_failed_permanently(
            progress.failure_count,
            len(progress.failed_instance_ids),
            trusted_backends,
            scheduled.job.most_attempts,
        )

    def _handle_outcome(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        progress: ItemProgress,
        outcome: RunOutcome,
    ) -> None:
        if outcome is RunOutcome.SUCCEEDED:
            self._finish_item(
                scheduled, item, True, "\n".join(progress.partial_text.texts), "succeeded"
            )
            return
        if outcome in (RunOutcome.UNPROCESSABLE, RunOutcome.UNSENDABLE):
            self._finish_item(scheduled, item, False, "", outcome.value)
            return
        if outcome is RunOutcome.FAILED and self._has_failed_permanently(scheduled, progress):
            self._finish_item(scheduled, item, False, "", f"failed {progress.failure_count} times")
            return
        progress.not_before = monotonic() + _retry_delay_s(outcome, progress.interruptions)
        self._scheduler.requeue(scheduled, item)
        self._log.write(
            Event.ITEM_RETRIED,
            item=item.item_id,
            job=scheduled.job.job_id,
            backend=progress.last_instance_id,
            cause=outcome.value,
            reason=progress.interruption,
            failures=progress.failure_count,
            last_event=progress.partial_text.last_event,
        )

    def _finish_item(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        succeeded: bool,
        text: str,
        cause: str,
    ) -> None:
        leadership = self._group.leadership
        if leadership is None or not self._scheduler.is_scheduled(scheduled):
            return
        job_id = scheduled.job.job_id
        outcome = ItemOutcome(item_id=item.item_id, succeeded=succeeded, text=text.encode())
        if not leadership.append_result(job_id, outcome):
            return
        self._group.wake_sessions()
        record = leadership.jobs[job_id]
        self._log.write(
            Event.ITEM_FINISHED if succeeded else Event.ITEM_GIVEN_UP,
            item=item.item_id,
            job=job_id,
            cause=cause,
            position=len(record.results) - 1,
            epoch=leadership.epoch,
            due_in_s=round(scheduled.due_at - monotonic(), 2),
        )
        scheduled.progress.pop(item.item_id, None)
        self._group.partial_texts.remove_item(*scheduled.key_of(item.item_id))
        if record.is_complete:
            self._scheduler.remove(job_id)
            self._log.write(Event.JOB_CLOSED, job=job_id, items=len(record.results))

    def _give_up_waiting_items(self, scheduled: ScheduledJob) -> None:
        while scheduled.waiting:
            _, item = scheduled.waiting.popitem(last=False)
            self._finish_item(scheduled, item, False, "", "too old")

    def _delete_old_jobs(self) -> None:
        leadership = self._group.leadership
        now = monotonic()
        if leadership is None or now < self._next_deletion_at:
            return
        self._next_deletion_at = now + DELETION_INTERVAL_S
        for record in self._retention.expired_jobs(leadership.finished_jobs(), now):
            job_id = record.job.job_id
            leadership.delete_job(job_id)
            self._log.write(
                Event.JOB_DELETED,
                job=job_id,
                submission=record.submission,
                results=len(record.results),
                accepted_s_ago=round(time() - record.job.accepted_ms / 1000, 1),
                kept_s=self._retention.keep_s,
                cause="retention",
            )
        self._group.wake_sessions()


def _retry_delay_s(outcome: RunOutcome, interruptions: int) -> float:
    """Return the seconds until an item may run again after a run without a result.

    Args:
        outcome: outcome of the run.
        interruptions: interrupted runs of the item, this one included.
    """
    if outcome is RunOutcome.REFUSED:
        return REFUSED_RETRY_DELAY_S
    if outcome is RunOutcome.FAILED:
        return FAILED_RETRY_DELAY_S
    growth = 2.0 ** min(max(0, interruptions - MAX_QUICK_RETRIES), MAX_DOUBLINGS)
    return min(MAX_INTERRUPTED_RETRY_DELAY_S, MIN_INTERRUPTED_RETRY_DELAY_S * growth)
