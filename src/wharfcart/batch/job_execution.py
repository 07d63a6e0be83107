"""Runs the items of a group's jobs while this node leads the group.

Items go only into slots that the servers are seen to have free, so that online work finds its
share; an item that was cut is taken up after its last event. Results are appended in the order in
which they come and count once enough disks have them.
"""

import asyncio
from collections.abc import Callable
from time import monotonic, time

from wharfcart.batch.item_run import ItemProgress, ItemRunner, ItemSend, RunOutcome
from wharfcart.batch.job_scheduler import JobScheduler, ScheduledJob
from wharfcart.batch.placed_items import PlacedItem, PlacedItems
from wharfcart.batch.retry_policy import has_failed_for_good
from wharfcart.cluster.messages_pb2 import ItemOutcome, RequestItem, RequestJob
from wharfcart.configuration.serving import Route, ServingConfiguration
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.observability.serving_metrics import ServingMetrics
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.routing.backend_choice import BackendChoice, InstanceState
from wharfcart.routing.preemption import Preemption
from wharfcart.storage.job_group import JobGroup
from wharfcart.storage.job_leadership import JobLeadership

PERIOD_S = 0.1
FEWEST_PERIOD_S = 0.005
# Above this share of a back end's slots its items yield, though nobody asked for a slot.
YIELD_ABOVE_LOAD = 1.0
# An item that must leave within this time has cost more than it has done.
RESTART_COST_S = 0.06
RETRY_REFUSED_S = 0.15
RETRY_BROKEN_S = 0.05
RETRY_FAILED_S = 0.3
RETRY_YIELDED_S = 0.05
# Clocks of the gateway that took the job and of a later leader may differ.
GIVE_UP_MARGIN_S = 6.0
FORGET_PERIOD_S = 5.0


class JobExecution(Preemption):
    """Items of one group's jobs, on its leader."""

    def __init__(
        self,
        group: JobGroup,
        runner: ItemRunner,
        choice: BackendChoice,
        configuration: Callable[[], ServingConfiguration | None],
        keep_jobs_s: float,
        log: DecisionLog,
        metrics: ServingMetrics,
    ) -> None:
        self._group = group
        self._runner = runner
        self._choice = choice
        self._configuration = configuration
        self._keep_jobs_s = keep_jobs_s
        self._log = log
        self._metrics = metrics
        self._scheduler = JobScheduler(group.partial_texts)
        self._placed = PlacedItems()
        self._tasks = BackgroundTasks()
        self._work = asyncio.Event()
        self._forget_at = 0.0
        self.online_waiting: Callable[[str], int] = lambda _service: 0
        self.on_slot_freed: Callable[[], None] = lambda: None
        group.on_leading = self._begin
        group.on_deposed = self._end

    # ---- calls of the job service ----

    def job_accepted(self, job: RequestJob) -> None:
        """Begin a job that counts."""
        if job.job_id not in self._scheduler.jobs:
            self._add(job, set())
            self._work.set()

    def job_ended(self, job_id: str) -> None:
        """Stop every item of a job at once."""
        scheduled = self._scheduler.remove(job_id)
        self._group.partial_texts.drop_job(job_id)
        if scheduled is None:
            return
        for item_id in list(scheduled.running):
            placed = self._placed.get(item_id)
            if placed is not None:
                placed.stop()

    # ---- room for online requests ----

    def items_at(self, instance_id: str) -> int:
        """Return how many items at a back end would leave for an online request."""
        return self._placed.yielding_at(instance_id)

    def make_room(self, instance_id: str) -> bool:
        """Have the item leave that loses least by it; False if none does."""
        yielding = self._placed.in_order_of_yielding(instance_id, monotonic())
        if not yielding:
            return False
        self._yield(yielding[0], "granted")
        return True

    def slots_changed(self) -> None:
        """Note that the load of back ends has changed."""
        self._work.set()

    def _makes_it(self, scheduled: ScheduledJob) -> bool:
        """Whether the next item of a job may still be done in time."""
        route = self._route_of(scheduled.job)
        if route is None:
            return False
        service = route.shares[0].service
        item = scheduled.waiting[0]
        return not self._placed.urgency(scheduled, item, service, monotonic()).too_late

    # ---- leadership ----

    def _begin(self) -> None:
        leadership = self._group.leadership
        assert leadership is not None
        for record in leadership.jobs.values():
            if not record.ended and not record.complete:
                self._add(record.job, {result.item_id for result in record.results})
        self._tasks.spawn(self._run())

    def _end(self) -> None:
        self._tasks.cancel()
        self._scheduler = JobScheduler(self._group.partial_texts)
        for placed in self._placed.clear():
            if not placed.begun:
                self._choice.ended(placed.state, placed.use)

    def _add(self, job: RequestJob, done: set[str]) -> None:
        age_s = max(0.0, time() - job.accepted_ms / 1000)
        self._scheduler.add(job, done, monotonic() - age_s)

    async def _run(self) -> None:
        while True:
            self._work.clear()
            self._placed.count_urgent(monotonic())
            self._yield_to_online()
            self._start_items()
            self._metrics.open_items.set(self._scheduler.open_items)
            self._metrics.replicas_behind.set(self._group.replicas_behind)
            self._forget_old()
            try:
                async with asyncio.timeout(PERIOD_S if self._scheduler.jobs else 1.0):
                    await self._work.wait()
            except TimeoutError:
                continue
            # Reports come many at a time on a large fleet.
            await asyncio.sleep(FEWEST_PERIOD_S)

    def _start_items(self) -> None:
        now = monotonic()
        for scheduled in self._scheduler.in_order(self._makes_it):
            route = self._route_of(scheduled.job)
            if now > scheduled.give_up_at + GIVE_UP_MARGIN_S:
                self._give_up_all(scheduled)
                continue
            if route is None:
                continue
            for item in self._scheduler.startable(scheduled, now):
                state = self._free_backend(route, scheduled, item, now)
                if state is None:
                    self._scheduler.put_back(scheduled, item)
                    break
                self._start(scheduled, item, state)

    def _route_of(self, job: RequestJob) -> Route | None:
        configuration = self._configuration()
        if configuration is None:
            return None
        return configuration.route_for(job.host, job.path)

    def _free_backend(
        self, route: Route, scheduled: ScheduledJob, item: RequestItem, now: float
    ) -> InstanceState | None:
        progress = scheduled.progress_of(item.item_id)
        excluded = progress.failed_at | {progress.last_backend}
        service = route.shares[0].service
        state = self._choice.choose_emptiest(service, now, excluded)
        if state is None or state.load(now) >= 1:
            state = self._choice.choose_emptiest(service, now)
        if state is None:
            return None
        if not state.has_free_slot(now):
            return None
        if self._placed.urgency(scheduled, item, service, now).urgent:
            return state
        if self.online_waiting(service):
            return None
        return state if self._worth_starting(service, now) else None

    def _worth_starting(self, service: str, now: float) -> bool:
        """Whether the last free slot is probably not needed before a start has paid off."""
        needed_soon = self._choice.rate_of_others(service) * RESTART_COST_S
        return self._choice.free_slots(service, now) >= 1 + needed_soon

    def _yield_to_online(self) -> None:
        """Cut items at back ends that are fuller than thought; they go on where they stopped."""
        now = monotonic()
        for state in self._placed.backends():
            excess = round((state.load(now) - YIELD_ABOVE_LOAD) * state.instance.slots)
            if excess <= 0:
                continue
            yielding = self._placed.in_order_of_yielding(state.instance.instance_id, now)
            for placed in yielding[:excess]:
                self._yield(placed, "overfull")

    def _yield(self, placed: PlacedItem, cause: str) -> None:
        now = monotonic()
        item_id = placed.item.item_id
        progress = placed.scheduled.progress_of(item_id)
        progress.yields += 1
        urgency = self._placed.urgency(placed.scheduled, placed.item, placed.service, now)
        self._metrics.items_yielded.add(cause)
        self._log.write(
            Event.ITEM_YIELDED,
            item=item_id,
            job=placed.scheduled.job.job_id,
            backend=placed.instance_id,
            cause=cause,
            load=round(placed.state.load(now), 2),
            load_age_s=round(now - placed.state.others_at, 2),
            slack_s=round(urgency.slack_s, 2),
        )
        placed.stop()

    def _start(self, scheduled: ScheduledJob, item: RequestItem, state: InstanceState) -> None:
        scheduled.running.add(item.item_id)
        # Counted before the task runs, so that the next choice sees it.
        use = self._choice.sent(state, monotonic())
        placed = PlacedItem(scheduled, item, state, use)
        self._placed.add(placed)
        placed.task = self._tasks.spawn(self._run_item(placed))
        self._log.write(
            Event.ITEM_STARTED,
            item=item.item_id,
            job=scheduled.job.job_id,
            backend=state.instance.instance_id,
            load=round(state.load(monotonic()), 2),
            after_event=scheduled.progress_of(item.item_id).text.last_event,
            due_in_s=round(scheduled.due_at - monotonic(), 2),
        )

    async def _run_item(self, placed: PlacedItem) -> None:
        scheduled, item, state = placed.scheduled, placed.item, placed.state
        progress = scheduled.progress_of(item.item_id)
        began_at = monotonic()
        try:
            outcome = await self._run_once(placed, progress)
        except asyncio.CancelledError:
            if scheduled.job.job_id not in self._scheduler.jobs:
                raise
            progress.not_before = monotonic() + RETRY_YIELDED_S
            self._scheduler.put_back(scheduled, item)
            return
        finally:
            progress.ran_s += monotonic() - began_at
            scheduled.running.discard(item.item_id)
            self._placed.remove(placed)
            self.on_slot_freed()
        self._metrics.items.add(outcome.value)
        self._judge_backends(progress, state, outcome)
        if outcome is RunOutcome.SUCCEEDED:
            events = len(progress.text.texts)
            self._placed.estimate(placed.service).finished(events, progress.ran_s)
        self._take_outcome(scheduled, item, progress, outcome)
        self._work.set()

    async def _run_once(self, placed: PlacedItem, progress: ItemProgress) -> RunOutcome:
        if placed.stopped:
            self._choice.ended(placed.state, placed.use)
            raise asyncio.CancelledError
        placed.begun = True
        give_up_at = placed.scheduled.give_up_at
        host = placed.scheduled.job.host
        return await self._runner.run(
            ItemSend(placed.item, host, placed.state, placed.use, progress, give_up_at)
        )

    def _judge_backends(
        self, progress: ItemProgress, state: InstanceState, outcome: RunOutcome
    ) -> None:
        """Note what an outcome says of back ends.

        An item that fails may itself be at fault: the back ends where it failed are to blame only
        once it has succeeded elsewhere.
        """
        now = monotonic()
        if outcome is RunOutcome.FAILED:
            progress.failures += 1
            progress.failed_at.add(state.instance.instance_id)
        elif outcome is RunOutcome.BROKEN:
            self._choice.turned_out(state, False, now)
        elif outcome is RunOutcome.SUCCEEDED:
            self._choice.turned_out(state, True, now)
            for failed in map(self._choice.state, progress.failed_at):
                if failed is not None:
                    self._choice.turned_out(failed, False, now)

    def _has_failed_for_good(self, scheduled: ScheduledJob, progress: ItemProgress) -> bool:
        """Whether an item failed often enough, at back ends that do well otherwise."""
        now = monotonic()
        states = [self._choice.state(failed) for failed in progress.failed_at]
        trusted = sum(state is not None and not state.suspect(now) for state in states)
        return has_failed_for_good(
            progress.failures, len(states), trusted, scheduled.job.most_attempts
        )

    def _take_outcome(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        progress: ItemProgress,
        outcome: RunOutcome,
    ) -> None:
        if outcome is RunOutcome.SUCCEEDED:
            self._finish(scheduled, item, True, "\n".join(progress.text.texts), "succeeded")
            return
        if outcome is RunOutcome.IMPOSSIBLE:
            self._finish(scheduled, item, False, "", "impossible")
            return
        if outcome is RunOutcome.FAILED and self._has_failed_for_good(scheduled, progress):
            self._finish(scheduled, item, False, "", f"failed {progress.failures} times")
            return
        delays = {RunOutcome.REFUSED: RETRY_REFUSED_S, RunOutcome.FAILED: RETRY_FAILED_S}
        progress.not_before = monotonic() + delays.get(outcome, RETRY_BROKEN_S)
        self._scheduler.put_back(scheduled, item)
        self._log.write(
            Event.ITEM_RETRIED,
            item=item.item_id,
            job=scheduled.job.job_id,
            backend=progress.last_backend,
            cause=outcome.value,
            failures=progress.failures,
            last_event=progress.text.last_event,
        )

    def _finish(
        self,
        scheduled: ScheduledJob,
        item: RequestItem,
        succeeded: bool,
        text: str,
        cause: str,
    ) -> None:
        leadership = self._group.leadership
        if leadership is None:
            return
        job_id = scheduled.job.job_id
        outcome = ItemOutcome(item_id=item.item_id, succeeded=succeeded, text=text.encode())
        if not leadership.append(job_id, outcome):
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
        self._group.partial_texts.drop(item.item_id)
        if record.complete:
            self._scheduler.remove(job_id)
            self._log.write(Event.JOB_CLOSED, job=job_id, items=len(record.results))

    def _give_up_all(self, scheduled: ScheduledJob) -> None:
        while scheduled.waiting:
            self._finish(scheduled, scheduled.waiting.popleft(), False, "", "too old")

    def _forget_old(self) -> None:
        leadership = self._group.leadership
        now = monotonic()
        if leadership is None or now < self._forget_at:
            return
        self._forget_at = now + FORGET_PERIOD_S
        for job_id in _forgettable(leadership, time(), self._keep_jobs_s):
            leadership.forget(job_id)
        self._group.wake_sessions()


def _forgettable(leadership: JobLeadership, wall_clock: float, keep_s: float) -> list[str]:
    return [
        job_id
        for job_id, record in leadership.jobs.items()
        if (record.ended or record.complete) and wall_clock - record.job.accepted_ms / 1000 > keep_s
    ]
