"""Detection of back-end crashes after connections that broke in the middle of an answer."""

import asyncio
from dataclasses import replace

from wharfcart.admission.poison_requests import PoisonRequests
from wharfcart.admission.request_fingerprint import RequestFingerprint
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import BreakCause
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.crash_detection import CRASH_TTL_S, CrashDetector, InterruptedRun

FINGERPRINT = RequestFingerprint("c")


class RecordingLog(DecisionLog):
    def __init__(self) -> None:
        super().__init__("n")
        self.events: list[Event] = []

    def write(self, event: Event, **_fields: object) -> None:
        self.events.append(event)


class Listener:
    """Accepts and counts connections; can reset them."""

    def __init__(self) -> None:
        self.accepted = 0
        self.resets_connections = False
        self._server: asyncio.Server

    async def start(self, port: int = 0) -> BackendInstance:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        return BackendInstance("b", "s", "127.0.0.1", port, "z", 4, True)

    async def _accept(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        if self.resets_connections:
            self.stop()
            writer.transport.abort()

    def stop(self) -> None:
        self._server.close()


def interrupted_run(instance: BackendInstance) -> InterruptedRun:
    return InterruptedRun("r", FINGERPRINT, instance, BreakCause.CLOSED, False, 0.1)


def crash_count(poison_requests: PoisonRequests) -> int:
    return len(poison_requests.evidence(FINGERPRINT).crashes_by_key)


def test_refused_connection_means_a_crash() -> None:
    async def scenario() -> None:
        log = RecordingLog()
        poison = PoisonRequests()
        detector = CrashDetector(poison, log)
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await detector.inspect(interrupted_run(instance))
        assert crash_count(poison) == 1
        assert log.events == [Event.BACKEND_ENDED, Event.REQUEST_SUSPECTED]

    asyncio.run(scenario())


def test_listening_back_end_has_not_crashed() -> None:
    async def scenario() -> None:
        poison = PoisonRequests()
        detector = CrashDetector(poison, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await detector.inspect(interrupted_run(instance))
        assert listener.accepted == 1 and not len(poison)
        listener.stop()

    asyncio.run(scenario())


def test_reset_during_the_check_means_a_crash() -> None:
    async def scenario() -> None:
        poison = PoisonRequests()
        detector = CrashDetector(poison, RecordingLog())
        listener = Listener()
        listener.resets_connections = True
        instance = await listener.start()
        await detector.start_inspection(interrupted_run(instance))
        assert crash_count(poison) == 1

    asyncio.run(scenario())


def test_runs_of_one_back_end_share_a_check() -> None:
    async def scenario() -> None:
        poison = PoisonRequests()
        detector = CrashDetector(poison, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await asyncio.gather(
            *(detector.start_inspection(interrupted_run(instance)) for _ in range(12))
        )
        assert listener.accepted == 1
        listener.stop()

    asyncio.run(scenario())


def test_only_connections_closed_by_the_peer_are_inspected() -> None:
    async def scenario() -> None:
        poison = PoisonRequests()
        detector = CrashDetector(poison, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        for cause in (BreakCause.TIMED_OUT, BreakCause.MALFORMED):
            await detector.inspect(replace(interrupted_run(instance), cause=cause))
        await detector.inspect(replace(interrupted_run(instance), answer_begun=True, ran_s=3.0))
        assert not len(poison)

    asyncio.run(scenario())


def test_restarted_back_end_is_checked_again() -> None:
    """Guards against counting a lost answer as a crash because the id had crashed earlier."""

    async def scenario() -> None:
        poison = PoisonRequests()
        detector = CrashDetector(poison, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await detector.inspect(interrupted_run(instance))
        restarted = Listener()
        await restarted.start(instance.port)
        await asyncio.sleep(CRASH_TTL_S + 0.05)
        other_run = replace(interrupted_run(instance), fingerprint=RequestFingerprint("other"))
        await detector.inspect(other_run)
        assert restarted.accepted == 1
        assert not poison.evidence(RequestFingerprint("other")).crashes_by_key
        assert crash_count(poison) == 1
        restarted.stop()

    asyncio.run(scenario())
