"""Ledger core: which slots each session has taken.

Slots do not expire: a slot is free once its holder releases it or the session is closed.

This module does no I/O; callers pass in the time in seconds.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from wharfcart.slots.events import HolderId, SessionKey, SlotNumber, SlotUse
from wharfcart.slots.urgency import Urgency

# Back ends prefill at least this fast.
PREFILL_TOKENS_PER_SECOND = 40_000
# Delay until prefill starts.
READ_START_S = 0.05


@dataclass(slots=True)
class TakenSlot:
    """A slot that is taken.

    Attributes:
        taken_at: monotonic time at which the slot was taken.
        preempted: its batch item must stop.
    """

    session: SessionKey
    use: SlotUse
    taken_at: float
    preempted: bool = False

    def urgency(self, now: float) -> Urgency | None:
        """Return the urgency of the batch item in the slot; None for an online request."""
        item = self.use.item
        return None if item is None else item.after_running(now - self.taken_at)

    def unread_tokens(self, now: float) -> int:
        """Return the prompt tokens that are probably not prefilled yet."""
        tokens = self.use.unread_tokens
        return (
            tokens if now < self.taken_at + READ_START_S + tokens / PREFILL_TOKENS_PER_SECOND else 0
        )


@dataclass
class _Session:
    zone: str
    taken_by_number: dict[SlotNumber, TakenSlot] = field(default_factory=dict)
    unresponsive: set[str] = field(default_factory=set)


@dataclass
class SlotLedger:
    """Open sessions and the slots that they have taken."""

    _sessions_by_key: dict[SessionKey, _Session] = field(default_factory=dict)
    _key_by_holder: dict[HolderId, SessionKey] = field(default_factory=dict)
    _taken_by_instance: dict[str, dict[int, TakenSlot]] = field(default_factory=dict)
    _unresponsive_to: dict[str, set[SessionKey]] = field(default_factory=dict)  # by instance
    _orphaned_by_instance: dict[str, int] = field(default_factory=dict)
    # Counters beside the slots, as every event reads them for all back ends.
    _in_use_by_instance: dict[str, int] = field(default_factory=dict)
    _preemptible_by_instance: dict[str, int] = field(default_factory=dict)
    _unread_by_instance: dict[str, list[TakenSlot]] = field(default_factory=dict)

    @property
    def session_count(self) -> int:
        """Number of sessions."""
        return len(self._sessions_by_key)

    def open(self, key: SessionKey, zone: str, uses: Iterable[SlotUse], now: float) -> None:
        """Open a session; close an older one of the same holder."""
        older = self._key_by_holder.get(key.holder)
        if older is not None:
            self.close(older)
        self._sessions_by_key[key] = _Session(zone)
        self._key_by_holder[key.holder] = key
        for use in uses:
            self.take(key, use, now)
            # The run may be among those counted as orphaned by the back end's last report.
            if use.instance_id in self._orphaned_by_instance:
                self.set_orphaned_runs(use.instance_id, self.orphaned_runs(use.instance_id) - 1)

    def close(self, key: SessionKey) -> bool:
        """Close a session and free its slots; False if it is not open."""
        session = self._sessions_by_key.get(key)
        if session is None:
            return False
        for number in list(session.taken_by_number):
            self.release(key, number)
        for instance_id in list(session.unresponsive):
            self.set_unresponsive(key, instance_id, False)
        del self._sessions_by_key[key]
        if self._key_by_holder.get(key.holder) == key:
            del self._key_by_holder[key.holder]
        return True

    def session_of(self, holder: HolderId) -> SessionKey | None:
        """Return a holder's open session, or None."""
        return self._key_by_holder.get(holder)

    def is_open(self, key: SessionKey) -> bool:
        """Whether a session is open."""
        return key in self._sessions_by_key

    def zone(self, key: SessionKey) -> str:
        """Return the zone of a session's holder."""
        return self._sessions_by_key[key].zone

    def take(self, key: SessionKey, use: SlotUse, now: float) -> None:
        """Record a slot as taken; ignored if the session is not open."""
        session = self._sessions_by_key.get(key)
        if session is None:
            return
        self.release(key, use.number)
        taken = TakenSlot(key, use, now)
        session.taken_by_number[use.number] = taken
        self._taken_by_instance.setdefault(use.instance_id, {})[id(taken)] = taken
        _adjust_count(self._in_use_by_instance, use.instance_id, 1)
        if use.item is not None:
            _adjust_count(self._preemptible_by_instance, use.instance_id, 1)
        if use.unread_tokens:
            self._unread_by_instance.setdefault(use.instance_id, []).append(taken)

    def release(self, key: SessionKey, number: SlotNumber) -> TakenSlot | None:
        """Free a slot and return it; None if it was not taken."""
        session = self._sessions_by_key.get(key)
        taken = None if session is None else session.taken_by_number.pop(number, None)
        if taken is None:
            return None
        instance_id = taken.use.instance_id
        at_instance = self._taken_by_instance[instance_id]
        del at_instance[id(taken)]
        if not at_instance:
            del self._taken_by_instance[instance_id]
        _adjust_count(self._in_use_by_instance, instance_id, -1)
        if taken.use.item is not None and not taken.preempted:
            _adjust_count(self._preemptible_by_instance, instance_id, -1)
        if taken.use.unread_tokens:
            unread = self._unread_by_instance.get(instance_id, [])
            self._set_unread(instance_id, [slot for slot in unread if slot is not taken])
        return taken

    def item_started(self, key: SessionKey, number: SlotNumber, urgency: Urgency) -> None:
        """Record the urgency of the batch item that runs in a slot."""
        taken = self.find(key, number)
        if taken is None:
            return
        if taken.use.item is None and not taken.preempted:
            _adjust_count(self._preemptible_by_instance, taken.use.instance_id, 1)
        taken.use = replace(taken.use, item=urgency)

    def mark_preempted(self, taken: TakenSlot) -> None:
        """Record that a batch item must stop."""
        if not taken.preempted and taken.use.item is not None:
            _adjust_count(self._preemptible_by_instance, taken.use.instance_id, -1)
        taken.preempted = True

    def find(self, key: SessionKey, number: SlotNumber) -> TakenSlot | None:
        """Return a taken slot, or None."""
        session = self._sessions_by_key.get(key)
        return None if session is None else session.taken_by_number.get(number)

    def taken_count(self, instance_id: str) -> int:
        """Return the number of slots of a back end that sessions have taken."""
        return len(self._taken_by_instance.get(instance_id, ()))

    def orphaned_runs(self, instance_id: str) -> int:
        """Return the number of runs at a back end that no session reports."""
        return self._orphaned_by_instance.get(instance_id, 0)

    def set_orphaned_runs(self, instance_id: str, count: int) -> None:
        """Record the number of runs at a back end that no session reports."""
        change = max(0, count) - self.orphaned_runs(instance_id)
        _adjust_count(self._orphaned_by_instance, instance_id, change)
        _adjust_count(self._in_use_by_instance, instance_id, change)

    def in_use(self, instance_id: str) -> int:
        """Return the number of taken slots of a back end, orphaned runs included."""
        return self._in_use_by_instance.get(instance_id, 0)

    def preemptible_count(self, instance_id: str) -> int:
        """Return the number of batch items at a back end that are not preempted."""
        return self._preemptible_by_instance.get(instance_id, 0)

    def unread_tokens(self, instance_id: str, now: float) -> int:
        """Return the prompt tokens that a back end probably has to prefill."""
        slots = self._unread_by_instance.get(instance_id)
        if slots is None:
            return 0
        unread = [(slot, slot.unread_tokens(now)) for slot in slots]
        self._set_unread(instance_id, [slot for slot, tokens in unread if tokens])
        return sum(tokens for _, tokens in unread)

    def preemptible_items(self, instance_id: str) -> list[TakenSlot]:
        """Return the slots of a back end's batch items that are not preempted."""
        taken = self._taken_by_instance.get(instance_id, {}).values()
        return [slot for slot in taken if slot.use.item is not None and not slot.preempted]

    def preempted_count(self, instance_id: str) -> int:
        """Return the number of preempted batch items that still run at a back end."""
        return sum(slot.preempted for slot in self._taken_by_instance.get(instance_id, {}).values())

    def _set_unread(self, instance_id: str, slots: list[TakenSlot]) -> None:
        if slots:
            self._unread_by_instance[instance_id] = slots
        else:
            self._unread_by_instance.pop(instance_id, None)

    def instances(self) -> list[str]:
        """Return the back ends that have slots taken by a session."""
        return list(self._taken_by_instance)

    def set_unresponsive(self, key: SessionKey, instance_id: str, unresponsive: bool) -> None:
        """Record whether a back end is unresponsive to a session's holder."""
        session = self._sessions_by_key.get(key)
        if session is None:
            return
        if unresponsive:
            session.unresponsive.add(instance_id)
            self._unresponsive_to.setdefault(instance_id, set()).add(key)
            return
        session.unresponsive.discard(instance_id)
        sessions = self._unresponsive_to.get(instance_id)
        if sessions is not None:
            sessions.discard(key)
            if not sessions:
                del self._unresponsive_to[instance_id]

    def is_unresponsive(self, instance_id: str) -> bool:
        """Whether a back end is unresponsive to any holder."""
        return instance_id in self._unresponsive_to


def _adjust_count(count_by_key: dict[str, int], key: str, change: int) -> None:
    """Change a count; remove it if it becomes 0."""
    count = count_by_key.get(key, 0) + change
    if count:
        count_by_key[key] = count
    else:
        count_by_key.pop(key, None)
