"""What discovery tells of back ends: taken over into the choice and the pool, and logged.

Changes that come together are told in one line for each event and service: on a large fleet a
start, a release or an outage changes many back ends for every node at once.
"""

from collections.abc import Callable
from dataclasses import dataclass

from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import BackendInstance
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import documents, names, server_entry
from wharfcart.routing.backend_selection import BackendSelector

# So many back ends get a line each; more are told together.
MAX_UNGROUPED_LINES = 2


@dataclass(frozen=True)
class _BackendEvent:
    event: Event
    instance_id: str
    service: str
    revision: int
    drained: bool = False


class BackendUpdates:
    """Takes the entries of back ends.

    Args:
        choice: what this node knows of them.
        pool: connections to them.
        in_outage: whether neither the coordination service nor a peer confirmed anything lately.
        age_s: seconds since the state was last confirmed.
        log: takes a line for each back end that is seen, drains or has gone.
    """

    def __init__(
        self,
        selector: BackendSelector,
        pool: ConnectionPool,
        in_outage: Callable[[], bool],
        age_s: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        self._selector = selector
        self._pool = pool
        self._in_outage = in_outage
        self._age_s = age_s
        self._log = log
        self._pending_events: list[_BackendEvent] = []

    def apply(self, change: KeyChange) -> None:
        """Take a change of one back end's entry."""
        instance_id = change.key.removeprefix(names.SERVER_PREFIX)
        known = self._selector.state(instance_id)
        instance = self._parse(change)
        if instance is None:
            drained = documents.was_accepting(change) is False
            self._selector.remove(instance_id, monotonic(), self._in_outage(), drained)
            self._pool.drop_instance(instance_id)
            if known is not None:
                service = known.instance.service
                self._add_event(Event.BACKEND_GONE, instance_id, service, change, drained)
            return
        if known is not None and known.instance.is_restart_of(instance):
            return  # told late
        if known is not None and instance.is_restart_of(known.instance):
            self._pool.drop_instance(instance_id)
            self._add_event(Event.BACKEND_RESTARTED, instance_id, instance.service, change)
        was_accepting = known is not None and known.instance.accepting
        was_cold = known is not None and self._selector.is_cold(known, monotonic())
        self._selector.put(instance, monotonic(), change.revision)
        if known is None:
            self._add_event(Event.BACKEND_SEEN, instance_id, instance.service, change)
        elif was_accepting and not instance.accepting:
            self._add_event(Event.BACKEND_DRAINING, instance_id, instance.service, change)
        state = self._selector.state(instance_id)
        if state is not None and self._selector.is_cold(state, monotonic()) and not was_cold:
            self._add_event(Event.BACKEND_COLD, instance_id, instance.service, change)

    def _parse(self, change: KeyChange) -> BackendInstance | None:
        """Return what an entry names; None if it was removed, or names no back end.

        One that turns bad takes out what it named at once: who wrote it is not known, and whether
        the back end is still there neither.
        """
        try:
            return server_entry.parse_instance(change)
        except server_entry.BadEntryError as error:
            self._log.write(
                Event.BACKEND_ENTRY_REFUSED,
                key=change.key[: server_entry.MAX_NAME_LENGTH],
                revision=change.revision,
                reason=str(error),
            )
            return None

    def log_pending(self) -> None:
        """Log what was taken since this was called last."""
        untold, self._pending_events = self._pending_events, []
        by_kind: dict[tuple[Event, str, bool], list[_BackendEvent]] = {}
        for one in untold:
            by_kind.setdefault((one.event, one.service, one.drained), []).append(one)
        for alike in by_kind.values():
            if len(alike) <= MAX_UNGROUPED_LINES:
                for one in alike:
                    self._write(one, {"backend": one.instance_id})
            else:
                self._write(alike[-1], {"backends": [one.instance_id for one in alike]})

    def _add_event(
        self, event: Event, instance_id: str, service: str, change: KeyChange, drained: bool = False
    ) -> None:
        self._pending_events.append(
            _BackendEvent(event, instance_id, service, change.revision, drained)
        )

    def _write(self, one: _BackendEvent, named: dict[str, object]) -> None:
        self._log.write(
            one.event,
            **named,
            service=one.service,
            revision=one.revision,
            drained=one.drained,
            age_s=round(self._age_s(), 2),
        )
