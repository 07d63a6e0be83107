"""One job group on one storage node, with the duties of its leader: items, calls and slots."""

from collections.abc import Callable
from dataclasses import dataclass

from wharfcart.batch.item_run import ItemRunner
from wharfcart.batch.job_execution import JobExecution
from wharfcart.batch.job_service import JobGroupService, OtherGroups
from wharfcart.cluster.topology import Distance
from wharfcart.node.fleet_keys import group_key
from wharfcart.node.serving_node import ServingNode
from wharfcart.observability.tasks import BackgroundTasks
from wharfcart.slots.events import HolderId
from wharfcart.slots.item_slots import ItemSlots
from wharfcart.slots.orphaned_runs import OrphanedRuns
from wharfcart.slots.service import SlotService
from wharfcart.slots.sessions import SlotSessions
from wharfcart.storage.group_context import GroupContext
from wharfcart.storage.job_client import JobClient
from wharfcart.storage.job_group import JobGroup


@dataclass(frozen=True)
class GroupParts:
    """Components shared by all groups of a node.

    Attributes:
        node: this node.
        context: dependencies of the replicas.
        runner: sends items to back ends.
        jobs: client for calls to the leaders of other groups.
        keep_jobs_s: how long in seconds a finished job stays readable after its end.
    """

    node: ServingNode
    context: GroupContext
    runner: ItemRunner
    jobs: JobClient
    keep_jobs_s: float


class HostedGroup:
    """A job group on this node.

    While this node leads the group, it runs the group's items and grants slots of its back ends.

    Args:
        number: number of the group.
        parts: components shared by the node's groups.

    Attributes:
        replica: this node's replica of the group.
        slots: grants slots while this node leads the group.
        service: answers calls about the group's jobs.
    """

    def __init__(self, number: int, parts: GroupParts) -> None:
        node = parts.node
        self._node = node
        self.replica = JobGroup(number, group_key(number), parts.context)
        self.slots = SlotService(
            number,
            node.selector,
            lambda instance: (
                node.layout is not None and node.layout.group_of(instance, node.topology) == number
            ),
            lambda zone: node.distance_to_group(number, zone),
            node.log,
            node.metrics.requests_waiting,
            node.limit_of,
            lambda: self.replica.is_recently_confirmed,
        )
        self._item_slots = ItemSlots(
            lambda group: node.distance_to_group(group) is Distance.OTHER_REGION
        )
        self._execution = JobExecution(
            self.replica,
            parts.runner,
            node.selector,
            lambda: node.configuration,
            self._item_slots,
            parts.keep_jobs_s,
            node.log,
            node.metrics,
        )
        self.service = JobGroupService(
            self.replica,
            self._execution,
            lambda: node.configuration,
            OtherGroups(_other_groups(number, node), parts.jobs),
            node.log,
            node.storage_region,
        )
        self._tasks = BackgroundTasks()
        self.replica.on_leadership_gained = self._start_leading
        self.replica.on_leadership_lost = self._stop_leading

    @property
    def is_leader(self) -> bool:
        """Whether this node leads the group."""
        return self.replica.leadership is not None

    def _start_leading(self) -> None:
        leadership = self.replica.leadership
        assert leadership is not None
        node = self._node
        sessions = SlotSessions(
            HolderId(f"{node.settings.node_id}/{self.replica.group}"),
            node.selector,
            node.transport,
            lambda: node.group_count,
            node.leader_address,
            node.group_of_instance,
            self._item_slots,
            node.log,
            grants_in=node.grants_in,
        )
        self._item_slots.begin(sessions)
        self.slots.begin(leadership.epoch)
        self._tasks.supervise(self.slots.run)
        self._tasks.spawn(self._watch_orphaned_runs())
        self._tasks.supervise(sessions.run)
        self._execution.start()

    async def _watch_orphaned_runs(self) -> None:
        """Watch runs that earlier leaders left on the model servers."""
        granter = self.slots.granter
        configuration = self._node.configuration
        if granter is None or configuration is None:
            return
        models = {name for name, service in configuration.services.items() if service.slots}
        instances = [
            state.instance
            for state in self._node.selector.states()
            if granter.owns(state.instance) and state.instance.service in models
        ]
        node = self._node
        runs = OrphanedRuns(
            self.replica.group,
            node.pool,
            node.connection_limit,
            node.log,
            lambda instance: instance.zone not in node.selector.eligibility.evacuated_zones,
        )
        await runs.watch(granter, instances)

    def _stop_leading(self) -> None:
        self._execution.stop()
        self.slots.end()
        self._tasks.cancel()


def _other_groups(number: int, node: ServingNode) -> Callable[[], list[int]]:
    return lambda: [group for group in range(node.group_count) if group != number]
