"""What became of a back end whose connection ended in the middle of an answer."""

import asyncio
from dataclasses import replace

from wharfcart.admission.request_content import ContentId
from wharfcart.admission.suspects import Suspects
from wharfcart.configuration.instances import BackendInstance
from wharfcart.http.connection import BreakCause
from wharfcart.observability.decisions import DecisionLog, Event
from wharfcart.routing.broken_runs import ENDED_KEPT_S, BrokenRun, BrokenRuns

CONTENT = ContentId("c")


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
        self.resets = False
        self._server: asyncio.Server

    async def start(self, port: int = 0) -> BackendInstance:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        return BackendInstance("b", "s", "127.0.0.1", port, "z", 4, True)

    async def _accept(self, _reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        if self.resets:
            self.stop()
            writer.transport.abort()

    def stop(self) -> None:
        self._server.close()


def run_of(instance: BackendInstance) -> BrokenRun:
    return BrokenRun("r", CONTENT, instance, BreakCause.CLOSED, False, 0.1)


def ends_known(suspects: Suspects) -> int:
    return len(suspects.record(CONTENT).ends_by_instance)


def test_a_back_end_that_listens_no_more_has_ended() -> None:
    async def scenario() -> None:
        log = RecordingLog()
        suspects = Suspects()
        broken = BrokenRuns(suspects, log)
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await broken.look_into(run_of(instance))
        assert ends_known(suspects) == 1
        assert log.events == [Event.BACKEND_ENDED, Event.REQUEST_SUSPECTED]

    asyncio.run(scenario())


def test_one_that_listens_has_lost_an_answer_and_speaks_against_nobody() -> None:
    async def scenario() -> None:
        suspects = Suspects()
        broken = BrokenRuns(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await broken.look_into(run_of(instance))
        assert listener.accepted == 1 and not len(suspects)
        listener.stop()

    asyncio.run(scenario())


def test_one_that_ends_while_it_is_asked_has_ended() -> None:
    async def scenario() -> None:
        suspects = Suspects()
        broken = BrokenRuns(suspects, RecordingLog())
        listener = Listener()
        listener.resets = True
        instance = await listener.start()
        await broken.note(run_of(instance))
        assert ends_known(suspects) == 1

    asyncio.run(scenario())


def test_many_runs_of_one_back_end_ask_once() -> None:
    async def scenario() -> None:
        suspects = Suspects()
        broken = BrokenRuns(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        await asyncio.gather(*(broken.note(run_of(instance)) for _ in range(12)))
        assert listener.accepted == 1
        listener.stop()

    asyncio.run(scenario())


def test_only_the_peers_own_end_is_looked_into() -> None:
    async def scenario() -> None:
        suspects = Suspects()
        broken = BrokenRuns(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        for cause in (BreakCause.SLOW, BreakCause.MALFORMED):
            await broken.look_into(replace(run_of(instance), cause=cause))
        await broken.look_into(replace(run_of(instance), answer_begun=True, ran_s=3.0))
        assert not len(suspects)

    asyncio.run(scenario())


def test_a_back_end_that_has_started_again_is_asked_anew() -> None:
    """Its id had ended once; an answer lost at its next life was taken for another end."""

    async def scenario() -> None:
        suspects = Suspects()
        broken = BrokenRuns(suspects, RecordingLog())
        listener = Listener()
        instance = await listener.start()
        listener.stop()
        await broken.look_into(run_of(instance))
        restarted = Listener()
        await restarted.start(instance.port)
        await asyncio.sleep(ENDED_KEPT_S + 0.05)
        innocent = replace(run_of(instance), content=ContentId("other"))
        await broken.look_into(innocent)
        assert restarted.accepted == 1
        assert not suspects.record(ContentId("other")).ends_by_instance
        assert ends_known(suspects) == 1
        restarted.stop()

    asyncio.run(scenario())
