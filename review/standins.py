"""Stand-ins for the users' platform: store, model servers, clients, and a small fleet.

Only the standard library is used. The fleet runs the project's own programs with the commands and
templates of ``deploy/`` on loopback addresses; every machine has an address of its own.
"""

import asyncio
import base64
import json
import os
import random
import re
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parent.parent
PASSED, BROKEN, CANNOT_RUN = 0, 1, 2
ZONES = ("zone-a", "zone-b", "zone-c")
REGION = "region-1"
HOST = "ficu95.example"
BATCH_PREFIX = "/pule252/"
SAFE_PREFIX = "/puxa403/"
STREAM_PREFIX = "/lohu930/"
MODEL_SERVICE = "huvo11a"
APP_SERVICE = "xano55b"
HISTORY_CHANGES = 100_000
MAX_PAGE_KEYS = 500
START_S = 25.0


class CannotRunError(Exception):
    """The case could not be set up; this says nothing about the rule."""


# ---- record ----


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line."""
        line = f"{time.monotonic() - self._began:8.3f} {text}"
        self._file.write(line.encode("unicode_escape").decode("ascii") + "\n")
        self._file.flush()


# ---- HTTP ----


@dataclass
class Message:
    """One HTTP message; header names are in lower case."""

    start: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return the first value of a header."""
        return next((value for key, value in self.headers if key == name), None)


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the first line and the headers of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = head[:-4].split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(start, [(name.strip().lower(), value.strip()) for name, _, value in pairs])


async def read_body(reader: asyncio.StreamReader, message: Message, is_answer: bool) -> bytes:
    """Read a body by its length or its chunks, or, of an answer without them, until the end."""
    if "chunked" in (message.get("transfer-encoding") or ""):
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
        return b"".join(parts)
    length = message.get("content-length")
    if length is not None:
        return await reader.readexactly(int(length))
    return await reader.read() if is_answer else b""


def encode(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


async def call(
    address: str, method: str, path: str, headers: dict[str, str], body: bytes, timeout_s: float
) -> Message | None:
    """Send one request on a new connection; None if there was no complete answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(encode(f"{method} {path} HTTP/1.1", {"Host": HOST} | headers, body))
            answer = await read_head(reader)
            answer.body = await read_body(reader, answer, is_answer=True)
            return answer
    except (OSError, TimeoutError, EOFError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


def status_of(answer: Message | None) -> int:
    """Return the status of an answer, 0 for none."""
    return 0 if answer is None else int(answer.start.split(" ")[1])


async def serve(host: str, handler: Callable[..., Awaitable[None]]) -> tuple[Any, str]:
    """Serve connections at a free port; return the server and its address."""

    async def on_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            pass  # the peer left, or the case has ended
        finally:
            writer.close()

    server = await asyncio.start_server(on_connection, host, 0, limit=16 * 1024 * 1024)
    return server, f"{host}:{server.sockets[0].getsockname()[1]}"


# ---- the platform's store ----


class Store:
    """The platform's store: keys, revisions, conditions and watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.items: dict[str, tuple[bytes, int, int]] = {}
        self.history: list[tuple[int, str, bytes | None]] = []
        self._changed = asyncio.Event()
        self.address = ""
        self._server: Any = None

    async def start(self, host: str) -> None:
        """Serve at a free port."""
        self._server, self.address = await serve(host, self._serve)

    def put(self, key: str, value: object) -> None:
        """Write a JSON value, as the operator or a server does."""
        self.write({key: json.dumps(value).encode()}, [])

    def write(self, puts: dict[str, bytes], removes: list[str]) -> int:
        """Write and remove keys at one new revision."""
        self.revision += 1
        for key, value in puts.items():
            made = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (value, self.revision, made)
            self.history.append((self.revision, key, value))
        for key in removes:
            if self.items.pop(key, None) is not None:
                self.history.append((self.revision, key, None))
        del self.history[:-HISTORY_CHANGES]
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def json_of(self, key: str) -> Any:
        """Return the decoded value of a key, or None."""
        return json.loads(self.items[key][0]) if key in self.items else None

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_head(reader)
            request.body = await read_body(reader, request, is_answer=False)
            method, target, _ = request.start.split(" ")
            parts = urlsplit(target)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            status, body = await self._answer(method, parts.path, query, request.body)
            headers = {"Content-Type": "application/json"}
            writer.write(encode(f"HTTP/1.1 {status} S", headers, json.dumps(body).encode()))
            await writer.drain()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        if path == "/api/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"at": self.revision}
            return 200, self._item(key) | {"at": self.revision}
        if path == "/api/kv-range":
            prefix, after = query.get("pathPrefix", ""), query.get("after", "")
            keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
            page = [self._item(key) for key in keys[:MAX_PAGE_KEYS]]
            return 200, {"requests": page, "more": len(keys) > len(page), "at": self.revision}
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn" and method == "POST":
            return self._commit(json.loads(body))
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, prefix = int(query["after"]), query.get("pathPrefix", "")
        deadline = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            events = [
                _event(change)
                for change in self.history
                if change[0] > after and change[1].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _commit(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        conditions = body.get("expectedRevision", [])
        for condition in conditions:
            held = self.items.get(condition["key"])
            if (0 if held is None else held[1]) != condition["revision"]:
                keys = [row["key"] for row in conditions if row["key"] in self.items]
                return 412, {"requests": [self._item(key) for key in keys]}
        puts = {row["key"]: base64.b64decode(row["value"]) for row in body.get("put", [])}
        return 200, {"revision": self.write(puts, body.get("remove", []))}

    def _item(self, key: str) -> dict[str, Any]:
        value, revision, made = self.items[key]
        encoded = base64.b64encode(value).decode()
        return {"key": key, "value": encoded, "revision": revision, "made": made, "lease": 0}


def _event(change: tuple[int, str, bytes | None]) -> dict[str, Any]:
    revision, key, value = change
    if value is None:
        return {"key": key, "revision": revision, "gone": True}
    encoded = base64.b64encode(value).decode()
    return {"key": key, "value": encoded, "revision": revision, "made": revision, "lease": 0}


# ---- model servers ----


@dataclass
class Run:
    """One run of a request at a server."""

    server: str
    request_id: str
    path: str
    after: int
    headers: list[tuple[str, str]]
    began_at: float = field(default_factory=time.monotonic)
    ended_at: float | None = None
    finished: bool = False


@dataclass
class ModelServer:
    """A server of one service: runs requests as streams of events, one request a connection.

    Attributes:
        text_of: returns the data of all events of a request, by its id.
        spoil: returns the bytes of one event as a faulty server sends them, or None.
    """

    instance_id: str
    zone: str
    record: Record
    text_of: Callable[[str], list[str]]
    service: str = MODEL_SERVICE
    slots: int = 12
    event_s: float = 0.01
    spoil: Callable[["ModelServer", str, int, str], bytes | None] = lambda *_: None
    runs: list[Run] = field(default_factory=list)
    address: str = ""
    active: int = 0

    async def start(self, host: str, store: Store) -> None:
        """Serve and enter the server in the platform's store."""
        _, self.address = await serve(host, self._serve)
        entry = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmupLeftMs": 0,
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "sequence": 1,
        }
        store.put(f"servers/{self.instance_id}", entry)

    async def pause(self, request_id: str) -> None:
        """Wait before an event of a request."""
        await asyncio.sleep(self.event_s)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_head(reader)
            request.body = await read_body(reader, request, is_answer=False)
            method, path, _ = request.start.split(" ")
            if method == "GET" and path in ("/health", "/api/report"):
                writer.write(self._own_answer(path))
                await writer.drain()
                continue
            expected = request.get("x-expect-instance")
            if expected not in (None, self.instance_id):
                headers = {"X-Instance-Id": self.instance_id}
                writer.write(encode("HTTP/1.1 421 Misdirected Request", headers))
                await writer.drain()
                continue
            await self._run(request, path, reader, writer)

    def _own_answer(self, path: str) -> bytes:
        if path == "/health":
            return encode("HTTP/1.1 200 OK", {"X-Instance-Id": self.instance_id})
        report = {
            "stage": "both",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "utilization": False,
            "sequence": 1,
            "queuedRequests": 0,
            "activeRequests": self.active,
            "kvUsed": 0,
            "kvTotal": 90000,
            "handles": 0,
        }
        headers = {"Content-Type": "application/json"}
        return encode("HTTP/1.1 200 OK", headers, json.dumps(report).encode())

    async def _run(
        self,
        request: Message,
        path: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        request_id = request.get("x-request-id") or ""
        after = int(request.get("last-event-id") or 0)
        run = Run(self.instance_id, request_id, path, after, request.headers)
        self.runs.append(run)
        self.record.write(f"server {self.instance_id} runs {request_id} {path} after {after}")
        headers = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"X-Request-Id: {request_id}",
            f"X-Response-Stamp: {self.instance_id}.{len(self.runs)}",
            f"X-Server-Load: {self.active + 1},0,{self.slots}",
            "Transfer-Encoding: chunked",
        ]
        self.active += 1
        try:
            writer.write(("\r\n".join(headers) + "\r\n\r\n").encode())
            for number, text in enumerate(self.text_of(request_id), 1):
                if number <= after:
                    continue
                await self.pause(request_id)
                data = f"id: {number}\ndata: {text}\n\n".encode()
                data = self.spoil(self, request_id, number, text) or data
                writer.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")
                await writer.drain()
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            run.finished = True
            self.record.write(f"server {self.instance_id} has run {request_id} to its end")
        finally:
            run.ended_at = time.monotonic()
            self.active -= 1


# ---- machines ----


def render(template: str, fields: Any) -> str:
    """Fill a template as the platform does."""
    return _render(template, [fields])


def _render(template: str, scopes: list[Any], key: object = "", last: bool = True) -> str:
    output, rest = "", template
    while found := re.search(r"\{\{([#^]?)([^}/]*)\}\}", rest):
        output, kind, name = output + rest[: found.start()], found[1], found[2].strip()
        rest = rest[found.end() :]
        if kind:
            inner, _, rest = rest.partition("{{/" + name + "}}")
            value = _look_up(name, scopes)
            if kind == "^":
                output += "" if value else _render(inner, scopes)
            else:
                output += _render_section(inner, value, scopes)
        elif name == ",":
            output += "" if last else ","
        elif name == "@":
            output += str(key)
        else:
            path, _, form = name.partition("|")
            value = _look_up(path, scopes)
            output += json.dumps(value) if form == "json" else _text(value)
    return output + rest


def _render_section(inner: str, value: Any, scopes: list[Any]) -> str:
    if isinstance(value, dict):
        entries = list(value.items())
    elif isinstance(value, list):
        entries = list(enumerate(value))
    else:
        return _render(inner, scopes) if value else ""
    return "".join(
        _render(inner, [entry, *scopes], key, place == len(entries) - 1)
        for place, (key, entry) in enumerate(entries)
    )


def _look_up(path: str, scopes: list[Any]) -> Any:
    if path == ".":
        return scopes[0]
    for scope in scopes:
        value = scope
        for name in path.split("."):
            if isinstance(value, list) and name.isdigit() and int(name) < len(value):
                value = value[int(name)]
            elif isinstance(value, dict):
                value = value.get(name)
            else:
                value = None
        if value is not None:
            return value
    return None


def _text(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(map(str, value))
    return json.dumps(value) if isinstance(value, dict | bool) else str(value)


@dataclass
class Machine:
    """One machine of the deployment and the process of its role."""

    name: str
    role: str
    kind: str
    zone: str
    ip: str
    folder: Path
    process: subprocess.Popen[bytes] | None = None
    first_start: bool = True
    ends: list[int] = field(default_factory=list)

    @property
    def log(self) -> Path:
        """File with what the process writes."""
        return self.folder / f"{self.name}.log"

    @property
    def data(self) -> Path:
        """Folder on the disk of a store machine."""
        return self.folder / f"{self.name}-data"


class Fleet:
    """A small deployment: three front machines and some store machines in three zones."""

    def __init__(
        self, record: Record, fronts: int = 3, stores: int = 3, tolerated_machines: int = 1
    ) -> None:
        self.record = record
        self.tolerated_machines = tolerated_machines
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.port = random.randint(20000, 28000)
        self.store = Store()
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._commands = {}
        self._templates = {}
        for role in deploy["roles"].values():
            self._commands[role["on"]] = role["run"].split(" ")
            self._templates[role["on"]] = (ROOT / role["template"]).read_text()
        self.fronts = [self._machine("front", number) for number in range(fronts)]
        self.stores = [self._machine("store", number) for number in range(stores)]
        self.servers: list[ModelServer] = []
        self.started_pids: list[int] = []
        self._python_path = _dependencies()

    def _machine(self, kind: str, number: int) -> Machine:
        host = number + (11 if kind == "front" else 31)
        zone = ZONES[number % len(ZONES)]
        name = f"{kind}-{zone}-{number}"
        return Machine(name, f"my-{kind}", kind, zone, f"{self.net}.{host}", self.folder)

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.stores, *self.fronts]

    def front_address(self, number: int) -> str:
        """Return the clients' address of a front machine."""
        return f"{self.fronts[number % len(self.fronts)].ip}:{self.port}"

    # ---- processes ----

    async def start(self, routes: list[dict[str, Any]] | None = None) -> None:
        """Start store, servers and processes; wait until all fronts are ready."""
        await self.store.start(f"{self.net}.200")
        self.store.put("op/config", configuration(7, routes or default_routes()))
        for place, server in enumerate(self.servers):
            await server.start(f"{self.net}.{210 + place}", self.store)
        for machine in self.machines:
            self.start_process(machine)
        await self.until(self._is_serving, START_S, "the fleet does not start")

    def start_process(self, machine: Machine) -> None:
        """Start the process of a machine with the settings of this moment."""
        path = machine.folder / f"{machine.name}.toml"
        path.write_text(render(self._templates[machine.kind], self._settings(machine)))
        machine.first_start = False
        environment = {"PATH": os.environ["PATH"], "HOME": str(machine.folder), "LANG": "C.UTF-8"}
        environment |= {"WHARFCART_SETTINGS": str(path), "PYTHONPATH": self._python_path}
        command = self._commands[machine.kind]
        if command[0] == "python3":
            command = [sys.executable, *command[1:]]
        with machine.log.open("ab") as log:
            machine.process = subprocess.Popen(
                command, env=environment, stdout=log, stderr=log, cwd=ROOT
            )
        self.started_pids.append(machine.process.pid)
        self.record.write(f"platform starts the process of {machine.name}: {machine.process.pid}")

    def signal(self, machine: Machine, number: signal.Signals) -> None:
        """Send a signal to the process of a machine; wait for the end after a kill."""
        if machine.process is None or machine.process.poll() is not None:
            return
        self.record.write(f"{number.name} to {machine.name}")
        machine.process.send_signal(number)
        if number is signal.SIGKILL:
            machine.process.wait()

    def wipe(self, machine: Machine) -> None:
        """Lose the disk of a store machine whose process was killed."""
        shutil.rmtree(machine.data)
        self.record.write(f"the disk of {machine.name} is lost")

    def stop(self) -> None:
        """End all processes that were started and remove the folder."""
        for machine in self.machines:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.write(f"all {len(self.started_pids)} processes have ended: {self.started_pids}")

    def _settings(self, machine: Machine) -> dict[str, Any]:
        listen = {}
        if machine.kind == "front":
            places = {"front": 0, "ready": 1, "control": 2}
            listen = {name: f"{machine.ip}:{self.port + n}" for name, n in places.items()}
        settings: dict[str, Any] = {
            "nodeName": machine.name,
            "role": machine.role,
            "machineClass": machine.kind,
            "ip": machine.ip,
            "zone": machine.zone,
            "region": REGION,
            "internalPorts": [self.port + 10, self.port + 25],
            "seeds": [f"{front.ip}:{self.port + 2}" for front in self.fronts[:3]],
            "bootstrap": machine.first_start,
            "lossCounts": machine.kind == "store",
            "zones": dict.fromkeys(ZONES, REGION),
            "listen": listen,
            "faultTolerance": {"machines": self.tolerated_machines, "zones": 0, "regions": 0},
            "bounds": {"graceS": 8},
            "platform": {"address": self.store.address, "form": "kv"},
        }
        if machine.kind == "store":
            settings["dataDir"] = str(machine.data)
        return settings

    # ---- what the platform sees ----

    async def is_ready(self, machine: Machine) -> bool:
        """Ask a front machine whether it is ready."""
        address = f"{machine.ip}:{self.port + 1}"
        return status_of(await call(address, "GET", "/api/readiness", {}, b"", 1.0)) == 200

    async def _is_serving(self) -> bool:
        if any(machine.process and machine.process.poll() for machine in self.machines):
            raise CannotRunError("a process ended at the start")
        ready = [await self.is_ready(front) for front in self.fronts]
        return all(ready) and self.leader() is not None

    def leader(self) -> Machine | None:
        """Return the store machine that leads the batch jobs, by what it wrote to the store."""
        record = self.store.json_of("wharfcart/groups/0")
        for machine in self.stores:
            entry = self.store.json_of(f"wharfcart/nodes/{machine.name}")
            if record and entry and entry["identity"] == record["leader"]:
                return machine
        return None

    def identity(self, machine: Machine) -> str:
        """Return the identity of a store machine's disk."""
        entry = self.store.json_of(f"wharfcart/nodes/{machine.name}")
        return entry["identity"] if entry else ""

    async def until(self, holds: Callable[[], Any], seconds: float, otherwise: str) -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + seconds
        while True:
            result = holds()
            if asyncio.iscoroutine(result):
                result = await result
            if result:
                return
            if time.monotonic() > deadline:
                raise CannotRunError(otherwise)
            await asyncio.sleep(0.05)

    # ---- clients ----

    async def submit(self, job_id: str, items: list[dict[str, Any]], attempts: int = 3) -> int:
        """Hand in a batch job, again at another node until it is accepted; return the status."""
        body = json.dumps({"requests": items}).encode()
        headers = {"X-Request-Id": job_id, "Content-Type": "application/json"}
        status = 0
        for attempt in range(attempts):
            address = self.front_address(attempt)
            answer = await call(address, "POST", f"{BATCH_PREFIX}{job_id}", headers, body, 5.0)
            status = status_of(answer)
            self.record.write(f"client hands in {job_id} ({len(items)} items): {status}")
            if status == 202 or 400 <= status < 429:
                break
            await asyncio.sleep(0.5)
        return status

    async def read(
        self, job_id: str, after: int = 0, node: int = 0, wait_ms: int = 500
    ) -> tuple[int, dict[str, Any]]:
        """Read results of a batch job from a position on; return status and page."""
        path = f"/api/lots/{job_id}?after={after}"
        headers = {"X-Wait-Ms": str(wait_ms)}
        answer = await call(self.front_address(node), "GET", path, headers, b"", 3.0)
        status = status_of(answer)
        return status, json.loads(answer.body) if answer and status == 200 else {}


def item(item_id: str, body: bytes = b"{}", **headers: str) -> dict[str, Any]:
    """Return one item of a batch job."""
    names = {"X-Model": "m", "X-Token-Count": "60,20", "X-Prompt-Prefix": f"{item_id}:60"}
    return {
        "id": item_id,
        "path": f"{BATCH_PREFIX}3/{item_id}",
        "headers": names | headers,
        "body": base64.b64encode(body).decode(),
        "tokens": 80,
    }


def default_routes() -> list[dict[str, Any]]:
    """Return the routes of a small deployment."""
    batch = {
        "name": "r-batch",
        "hostname": HOST,
        "pathPrefix": BATCH_PREFIX,
        "kind": "batch",
        "timeoutMs": 30000,
        "targetLatencyMs": 400,
        "targetCompletionMs": 20000,
        "maxWaitS": 60,
        "priority": 2,
        "backend": MODEL_SERVICE,
        "maxAttempts": 3,
        "sticky": True,
    }
    stream = {
        "name": "r-stream",
        "hostname": HOST,
        "pathPrefix": STREAM_PREFIX,
        "kind": "streaming",
        "timeoutMs": 8000,
        "targetLatencyMs": 300,
        "priority": 0,
        "backend": MODEL_SERVICE,
        "maxAttempts": 2,
        "sticky": True,
        "resumable": True,
        "gapAimMs": 500,
    }
    return [batch, stream]


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration of the operator."""
    engine = {"slots": 12, "kvCapacityTokens": 171000, "models": [{"name": "m"}]}
    service = {"name": MODEL_SERVICE, "healthPath": "/health", "maxConnections": 300}
    services = [service | {"protocol": "h1", "tls": False, "engine": engine}]
    limits = {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }
    return {"version": version, "routes": routes, "services": services, "limits": limits}


def _dependencies() -> str:
    """Return the Python path of the served programs: the users' build, else `make install`."""
    built = ROOT / "target/deps"
    if (built / "wharfcart").is_dir():
        return str(built)
    for packages in sorted(ROOT.glob(".venv/lib/python3*/site-packages")):
        return f"{ROOT / 'src'}:{packages}"
    raise CannotRunError("nothing is built: run the line `build` of deploy/system.toml")


# ---- cases ----


def run_case(folder: Path, case: Callable[[Fleet, bool], Awaitable[bool]], fleet_of: Any) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    # A case that is ended from outside still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    fleet = None

    async def play() -> bool:
        async with asyncio.timeout(115):
            return await case(fleet, trouble)

    try:
        fleet = fleet_of(record)
        held = asyncio.run(play())
        record.write("the rule held" if held else "THE RULE WAS BROKEN")
        code = PASSED if held else BROKEN
    except (CannotRunError, TimeoutError) as error:
        record.write(f"couldn't run: {error or 'out of time'}")
        code = CANNOT_RUN
    finally:
        if fleet is not None:
            if os.environ.get("KEEP_LOGS"):
                shutil.copytree(fleet.folder, os.environ["KEEP_LOGS"], dirs_exist_ok=True)
            fleet.stop()
    sys.exit(code)
