"""Faults of the emulated services, set by ``POST /control/faults`` on each of them.

The body is a JSON object of :class:`Faults`; omitted fields keep their value. ``GET`` returns the
current values.
"""

import asyncio
import random

from aiohttp import web
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from wharfcart.emulator.answer_shapes import ConnectionEnd, end_connection


class Faults(BaseModel):
    """Faults of one emulated service."""

    model_config = ConfigDict(extra="forbid")

    outage: bool = Field(default=False, description="close each connection without an answer")
    delay_seconds: float = Field(default=0.0, ge=0, description="before handling a call")
    lost_answers: int = Field(
        default=0, ge=0, description="so many next calls take effect and get no answer"
    )
    lost_writes: int = Field(
        default=0, ge=0, description="the same, but only calls that write (key-value service)"
    )
    refuse_part: float = Field(default=0.0, ge=0, le=1, description="part of calls answered 503")
    cut_streams: int = Field(default=0, ge=0, description="so many next streams end halfway")
    slow_factor: float = Field(default=1.0, gt=0, description="multiplies modelled times")


class FaultSwitch:
    """Holds and applies the faults of one emulated service."""

    def __init__(self, seed: int) -> None:
        self.faults = Faults()
        self._random = random.Random(seed)

    def add_routes(self, app: web.Application) -> None:
        """Add the control endpoint."""
        app.router.add_get("/control/faults", self._get)
        app.router.add_post("/control/faults", self._post)

    async def apply_before(self, request: web.Request) -> web.Response | None:
        """Apply the faults that precede the effect of a call; return the refusal, if any."""
        faults = self.faults
        if faults.outage:
            drop_connection(request)
        if faults.delay_seconds:
            await asyncio.sleep(faults.delay_seconds)
        if faults.refuse_part and self._random.random() < faults.refuse_part:
            headers = {"X-Outcome": "not_run", "Retry-After": "1"}
            return web.json_response({"error": "refused"}, status=503, headers=headers)
        return None

    def apply_after(self, request: web.Request, is_write: bool = False) -> None:
        """Apply the faults that follow the effect of a call."""
        if is_write and self.faults.lost_writes > 0:
            self.faults.lost_writes -= 1
            drop_connection(request)
        if self.faults.lost_answers > 0:
            self.faults.lost_answers -= 1
            drop_connection(request)

    def consume_stream_cut(self) -> bool:
        """Return whether to interrupt this stream, and count it against ``cut_streams``."""
        if self.faults.cut_streams > 0:
            self.faults.cut_streams -= 1
            return True
        return False

    async def _get(self, request: web.Request) -> web.Response:
        return web.json_response(self.faults.model_dump())

    async def _post(self, request: web.Request) -> web.Response:
        try:
            merged = self.faults.model_dump() | await request.json()
            self.faults = Faults.model_validate(merged)
        except (ValidationError, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        return web.json_response(self.faults.model_dump())


def drop_connection(request: web.Request) -> None:
    """Abort the caller's connection and end the handler.

    Raises:
        ConnectionResetError: always.
    """
    if request.transport is not None:
        request.transport.abort()
    raise ConnectionResetError("fault")


def break_off(request: web.Request, end: ConnectionEnd) -> None:
    """End the connection in the middle of an answer, and end the handler.

    Raises:
        ConnectionResetError: always.
    """
    if request.transport is not None:
        end_connection(request.transport, end)
    raise ConnectionResetError("fault")
