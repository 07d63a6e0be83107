"""Applies service discovery entries of back ends to the selector and the connection pool.

Changes that arrive together share one log line per event, service and version, because a start, a
release or an outage changes many back ends at once.
"""

from collections.abc import Callable
from dataclasses import dataclass

from wharfcart.backends.connection_pool import ConnectionPool
from wharfcart.clock import monotonic
from wharfcart.cluster.coordination import KeyChange
from wharfcart.configuration.instances import BackendInstance, SoftwareVersion
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.platform import documents, names, server_entry
from wharfcart.routing.backend_selection import BackendSelector

MAX_UNGROUPED_LINES = 2  # more back ends share one log line


@dataclass(frozen=True)
class _BackendEvent:
    event: Event
    instance_id: str
    service: str
    version: SoftwareVersion
    revision: int
    drained: bool = False


class BackendUpdates:
    """Applies entries of back ends and logs their lifecycle.

    Args:
        selector: holds this node's state of the back ends.
        pool: connections to the back ends.
        in_outage: returns whether neither the coordination service nor a peer has recently
            confirmed the state.
        age_s: returns the seconds since the state was last confirmed.
        log: receives a line for each lifecycle event of a back end.
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
        """Apply a change of one back end's entry."""
        instance_id = change.key.removeprefix(names.SERVER_PREFIX)
        known = self._selector.state(instance_id)
        instance = self._parse(change)
        if instance is None:
            drained = documents.was_accepting(change) is False
            self._selector.remove(instance_id, monotonic(), self._in_outage(), drained)
            self._pool.drop_instance(instance_id)
            if known is not None:
                self._add_event(Event.BACKEND_GONE, known.instance, change, drained)
            return
        if known is not None and known.instance.is_restart_of(instance):
            return  # a late entry of an earlier instance
        if known is not None and instance.is_restart_of(known.instance):
            self._pool.drop_instance(instance_id)
            self._add_event(Event.BACKEND_RESTARTED, instance, change)
        was_accepting = known is not None and known.instance.accepting
        was_cold = known is not None and self._selector.is_cold(known, monotonic())
        self._selector.put(instance, monotonic(), change.revision)
        if known is None:
            self._add_event(Event.BACKEND_SEEN, instance, change)
        elif was_accepting and not instance.accepting:
            self._add_event(Event.BACKEND_DRAINING, instance, change)
        state = self._selector.state(instance_id)
        if state is not None and self._selector.is_cold(state, monotonic()) and not was_cold:
            self._add_event(Event.BACKEND_COLD, instance, change)

    def _parse(self, change: KeyChange) -> BackendInstance | None:
        """Return the instance in an entry; None if the entry was removed or is invalid.

        An entry that becomes invalid removes its back end at once, because neither its author nor
        the state of the back end is known.
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
        """Log the events since the last call."""
        events, self._pending_events = self._pending_events, []
        by_kind: dict[tuple[Event, str, SoftwareVersion, bool], list[_BackendEvent]] = {}
        for item in events:
            kind = item.event, item.service, item.version, item.drained
            by_kind.setdefault(kind, []).append(item)
        for group in by_kind.values():
            if len(group) <= MAX_UNGROUPED_LINES:
                for item in group:
                    self._write(item, {"backend": item.instance_id})
            else:
                self._write(group[-1], {"backends": [item.instance_id for item in group]})

    def _add_event(
        self, event: Event, instance: BackendInstance, change: KeyChange, drained: bool = False
    ) -> None:
        self._pending_events.append(
            _BackendEvent(
                event,
                instance.instance_id,
                instance.service,
                instance.version,
                change.revision,
                drained,
            )
        )

    def _write(self, item: _BackendEvent, backend_fields: dict[str, object]) -> None:
        self._log.write(
            item.event,
            **backend_fields,
            service=item.service,
            version=item.version,
            revision=item.revision,
            drained=item.drained,
            age_s=round(self._age_s(), 2),
        )
