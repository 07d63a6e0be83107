"""Back ends whose answers have given shapes."""

import asyncio

from wharfcart.emulator.answer_shapes import AnswerShape, BackendFate, write_shaped
from wharfcart.platform import names


class ShapedServer:
    """A back end on a loopback address that gives every answer one shape."""

    def __init__(self, shape: AnswerShape, parts: list[bytes], content_type: str) -> None:
        self._shape = shape
        self._parts = parts
        self._content_type = content_type
        self._server: asyncio.Server | None = None
        self.address = ("", 0)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self._server.sockets[0].getsockname()

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            head = await reader.readuntil(b"\r\n\r\n")
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return
        id_prefix = names.REQUEST_ID.lower().encode() + b":"
        ids = [
            line.partition(b":")[2].strip().decode()
            for line in head.split(b"\r\n")
            if line.lower().startswith(id_prefix)
        ]
        headers = [
            *((names.REQUEST_ID, request_id) for request_id in ids),
            (names.RESPONSE_STAMP, "s"),
            ("Content-Type", self._content_type),
        ]
        if self._shape.fate is BackendFate.EXITS:
            self.stop()
        await write_shaped(writer, self._shape, headers, self._parts)
