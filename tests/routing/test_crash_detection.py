"""What became of a back end whose connection ended in the middle of an answer."""

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
    """Accepts connections; counts them."""

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
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, log)
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await broken.inspect(interrupted_run(instance))
        assert crash_count(suspects) == 1
        assert log.events == [Event.BACKEND_ENDED, Event.REQUEST_SUSPECTED]

    asyncio.run(scenario())


def test_listening_back_end_has_not_crashed() -> None:
    async def scenario() -> None:
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await broken.inspect(interrupted_run(instance))
        assert listener.accepted == 1 and not len(suspects)
        listener.stop()

    asyncio.run(scenario())


def test_reset_during_the_check_means_a_crash() -> None:
    async def scenario() -> None:
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, RecordingLog())
        listener = Listener()
        listener.resets_connections = True
        instance = await listener.start()
        await broken.start_inspection(interrupted_run(instance))
        assert crash_count(suspects) == 1

    asyncio.run(scenario())


def test_runs_of_one_back_end_share_a_check() -> None:
    async def scenario() -> None:
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await asyncio.gather(
            *(broken.start_inspection(interrupted_run(instance)) for _ in range(12))
        )
        assert listener.accepted == 1
        listener.stop()

    asyncio.run(scenario())


def test_only_connections_closed_by_the_peer_are_inspected() -> None:
    async def scenario() -> None:
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        for cause in (BreakCause.SLOW, BreakCause.MALFORMED):
            await broken.inspect(replace(interrupted_run(instance), cause=cause))
        await broken.inspect(replace(interrupted_run(instance), answer_begun=True, ran_s=3.0))
        assert not len(suspects)

    asyncio.run(scenario())


def test_restarted_back_end_is_checked_again() -> None:
    """Its id had ended once; an answer lost at its next life was taken for another end."""

    async def scenario() -> None:
        suspects = PoisonRequests()
        broken = CrashDetector(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await broken.inspect(interrupted_run(instance))
        restarted = Listener()
        await restarted.start(instance.port)
        await asyncio.sleep(CRASH_TTL_S + 0.05)
        innocent = replace(interrupted_run(instance), fingerprint=RequestFingerprint("other"))
        await broken.inspect(innocent)
        assert restarted.accepted == 1
        assert not suspects.evidence(RequestFingerprint("other")).crashes_by_key
        assert crash_count(suspects) == 1
        restarted.stop()

    asyncio.run(scenario())
