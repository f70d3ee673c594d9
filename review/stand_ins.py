"""Stand-ins of the platform, of backend servers and of callers, on loopback only.

They use the standard library alone, and behave as the users' pages say: a sound store,
sound servers and sound callers, but for the disruption that a case names.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import secrets
import signal
import socket
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, unquote

__all__ = [
    "BROKEN",
    "COULD_NOT_RUN",
    "HELD",
    "ROOT",
    "Answer",
    "Case",
    "Front",
    "KeptConnection",
    "Record",
    "Server",
    "Store",
    "configuration",
    "new_request_id",
    "route",
    "run_case",
    "send_request",
]

ROOT = Path(__file__).resolve().parent.parent

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
"""Exit codes of a case."""

_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 503: "Service Unavailable"}
_BLOCK = 1 + os.getpid() // 250 % 250
_SUBNET = f"127.{_BLOCK}.{os.getpid() % 250}"

Headers = dict[str, str]


class Record:
    """The lines of ``record.txt``: what was sent, answered and run.

    Parameters
    ----------
    path : Path
        The file.
    """

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def add(self, text: str) -> None:
        """Add a line with the time since the start."""
        at_s = time.monotonic() - self._started_s
        self._file.write(f"{at_s:9.4f} {text}\n")

    def close(self) -> None:
        """Write what is left."""
        self._file.close()


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, Headers, bytes] | None:
    """Return the first line, the headers and the body of a message; None at the end.

    Raises
    ------
    asyncio.IncompleteReadError, ConnectionError
        If it is cut.
    """
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer with a length."""
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(handler: Handler) -> tuple[asyncio.Server, str]:
    """Listen on a free loopback port; return the listener and its address."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await handler(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, TimeoutError):
            pass
        except asyncio.CancelledError:
            # The stand-ins end with the script; asyncio would report each of them.
            pass
        finally:
            writer.close()

    listener = await asyncio.start_server(run, "127.0.0.1", 0)
    host, port = listener.sockets[0].getsockname()
    return listener, f"{host}:{port}"


class Store:
    """The platform's store: objects by kind and name, with lists and watches.

    Attributes
    ----------
    address : str
        Where it listens.
    """

    def __init__(self) -> None:
        self.address = ""
        self._revision = 1
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[tuple[int, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        # Contents that are handed out as the very bytes that were written.
        self._as_written: dict[str, str] = {}

    async def start(self) -> None:
        """Listen."""
        _, self.address = await listen(self._serve)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object as the operator or a server does."""
        self._revision += 1
        objects = self._objects.setdefault(kind, {})
        created = objects[name]["meta"]["createRevision"] if name in objects else None
        item = {
            "meta": {
                "name": name,
                "rev": self._revision,
                "createRevision": created or self._revision,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        objects[name] = item
        self._publish(kind, {"object": item, "deleted": False})
        return item

    def put_as_written(self, kind: str, name: str, spec: str) -> None:
        """Write an object whose content stays as another writer has spelled it."""
        mark = f"written by another writer: {name}"
        self._as_written[json.dumps(mark)] = spec
        self.put(kind, name, mark)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self._objects.get(kind, {}).pop(name, None)
        if item is not None:
            self._revision += 1
            self._publish(kind, {"object": item, "deleted": True})

    def _publish(self, kind: str, event: dict[str, Any]) -> None:
        self._events.append((self._revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while (message := await read_message(reader)) is not None:
            first, _, body = message
            method, target, _ = first.split(" ")
            status, content = await self._answer(method, target, body)
            headers = {"Content-Type": "application/json", "Store-Era": "1"}
            text = json.dumps(content)
            for mark, spec in self._as_written.items():
                text = text.replace(mark, spec)
            writer.write(encode_answer(status, headers, text.encode()))
            await writer.drain()

    async def _answer(self, method: str, target: str, body: bytes) -> tuple[int, Any]:
        path, _, query = target.partition("?")
        _, _, kind, *names = (unquote(part) for part in path.split("/"))
        options = {name: values[0] for name, values in parse_qs(query).items()}
        objects = self._objects.setdefault(kind, {})
        if method == "GET" and "watch" in options:
            return 200, await self._watch(kind, options)
        if method == "GET" and not names:
            items = [objects[name] for name in sorted(objects)]
            page = {"items": items, "more": False, "currentRev": self._revision}
            return 200, page
        if method == "POST":
            written = json.loads(body)
            name = written["meta"]["name"]
            if name in objects:
                return 409, objects[name]
            return 200, self.put(kind, name, written["spec"])
        if not names or names[0] not in objects:
            return 404, {}
        return self._answer_named(method, kind, names[0], options, body)

    def _answer_named(
        self, method: str, kind: str, name: str, options: Headers, body: bytes
    ) -> tuple[int, Any]:
        found = self._objects[kind][name]
        written = json.loads(body) if method == "PUT" else {"meta": {}}
        expected = options.get("rev", written["meta"].get("rev"))
        if expected is not None and int(expected) != found["meta"]["rev"]:
            return 409, found
        if method == "PUT" and written["spec"] != found["spec"]:
            return 200, self.put(kind, name, written["spec"])
        if method == "DELETE":
            self.delete(kind, name)
        return 200, found

    async def _watch(self, kind: str, options: Headers) -> Any:
        since = int(options["watch"])
        until_s = time.monotonic() + int(options.get("waitMs", "0")) / 1000.0
        while True:
            events = [
                event
                for revision, other, event in self._events
                if revision > since and other == kind
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0.0:
                return {"events": events, "currentRev": self._revision}
            changed = self._changed
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue


class Server:
    """A backend server.

    Parameters
    ----------
    service, zone : str
        Its service and its zone.
    record : Record
        Gets a line for each run and rejection.
    slots, queue : int
        How many requests it runs at once, and how many more wait.
    work_ms : callable
        Returns how long it works on the next request.

    Attributes
    ----------
    server_id : str
        Its id.
    runs : Counter of str
        How often each request id began to run.
    rejected : int
        Requests that found it full.
    arrivals : list of tuple of float and str
        When each request arrived, by the steady clock, and its id.
    second_answer : callable
        Returns whether an answer of this status is sent once more, late.
    """

    def __init__(
        self,
        service: str,
        zone: str,
        record: Record,
        *,
        slots: int,
        queue: int,
        work_ms: Callable[[], float],
    ) -> None:
        self.server_id = f"i-{secrets.token_hex(4)}"
        self.service = service
        self.zone = zone
        self.address = ""
        self.runs: Counter[str] = Counter()
        self.rejected = 0
        self.arrivals: list[tuple[float, str]] = []
        self._record = record
        self._slots = slots
        self._queue = queue
        self._work_ms = work_ms
        self._free = asyncio.Semaphore(slots)
        self._present = 0
        self._born_ms = int(time.time() * 1000)
        self.second_answer: Callable[[int], bool] = lambda status: False

    async def start(self, store: Store) -> None:
        """Listen and register."""
        _, self.address = await listen(self._serve)
        store.put("servers", self.server_id, self.entry("ready"))

    def entry(self, state: str) -> dict[str, Any]:
        """Return its entry in the store."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1",
            "slots": self._slots,
            "state": state,
            "warmupLeftMs": 0,
            "seq": 1,
            "born": self._born_ms,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late_answer = b""
        while (message := await read_message(reader)) is not None:
            if late_answer:
                # The answer to the request before, once more, where the answer to
                # this one is expected.
                writer.write(late_answer)
                await writer.drain()
            first, headers, _ = message
            request_id = headers.get("x-request-id", "")
            status, more, body = await self._answer(first, headers, request_id)
            answer_headers = {"X-Request-Id": request_id, "Keep-Alive": "timeout=10"}
            data = encode_answer(status, answer_headers | more, body)
            writer.write(data)
            await writer.drain()
            late_answer = data if self.second_answer(status) else b""
            if late_answer:
                self._record.add(f"{self.server_id} will repeat {status} {request_id}")

    async def _answer(
        self, first: str, headers: Headers, request_id: str
    ) -> tuple[int, Headers, bytes]:
        if headers.get("x-expect-instance", self.server_id) != self.server_id:
            return 421, {"X-Not-Executed": "1"}, b""
        self.arrivals.append((time.monotonic(), request_id))
        if self._present >= self._slots + self._queue:
            self.rejected += 1
            self._record.add(f"{self.server_id} rejects {request_id} (full)")
            return 503, {"X-Not-Executed": "1"}, b""
        deadline_ms = float(headers.get("x-deadline-ms", "10000"))
        self._present += 1
        try:
            async with asyncio.timeout(deadline_ms / 1000.0):
                async with self._free:
                    self.runs[request_id] += 1
                    self._record.add(f"{self.server_id} runs {request_id}: {first}")
                    await asyncio.sleep(self._work_ms() / 1000.0)
        except TimeoutError:
            if self.runs[request_id]:
                return 504, {"X-Backend-Stamp": secrets.token_hex(8)}, b""
            return 503, {"X-Not-Executed": "1"}, b""
        finally:
            self._present -= 1
        stamp = secrets.token_hex(8)
        return 200, {"X-Backend-Stamp": stamp}, f"done {request_id}".encode()


def route(name: str, service: str, kind: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    fields = {
        "name": name,
        "host": "tier.example",
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": service,
        "timeoutMs": 8000,
        "sloMs": 800,
        "attempts": 2,
        "priority": 1,
    }
    return fields | changes


def configuration(version: int, routes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration as the operator writes it."""
    services = sorted({item["service"] for item in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": name, "maxConns": 96} for name in services],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def _free_port(ip: str) -> int:
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1])


class Front:
    """One front process, started with the run line of the deploy file.

    Parameters
    ----------
    number : int
        Its number, from 0.
    zone : str
        Its zone.
    folder : Path
        A temporary folder for its settings and its log.
    """

    def __init__(self, number: int, zone: str, folder: Path) -> None:
        self.name = f"front-{zone}-{number}"
        self.zone = zone
        # Of its own for each front, as all of them serve metrics on one port.
        self.ip = f"{_SUBNET}.{10 + number}"
        self.address = f"{self.ip}:{_free_port(self.ip)}"
        self.ready = f"{self.ip}:{_free_port(self.ip)}"
        self.control = f"{self.ip}:{_free_port(self.ip)}"
        self._folder = folder
        self._process: asyncio.subprocess.Process | None = None

    def write_settings(self, store: Store, seeds: list[str], zones: list[str]) -> None:
        """Write its settings, with the bounds of the smallest deployments."""
        text = f"""
nodeName = "{self.name}"
role = "front"
machineClass = "front"
serves = ["front", "control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "r"
peerPorts = [7380, 7395]
seeds = {json.dumps(seeds)}
bootstrap = true
countsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
[zones]
{"".join(f'{zone} = "r"' + chr(10) for zone in zones)}
[listen]
front = "{self.address}"
ready = "{self.ready}"
control = "{self.control}"
[limits]
cpuShare = 0.537
cpus = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 4000
ackMs = 5000
syncS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeMs = 250
skewMaxMs = 12000
retryRatio = 0.2
retryWindowS = 10
retryAllowance = 52
recoveryS = 12
[platform]
addr = "{store.address}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""
        (self._folder / f"{self.name}.toml").write_text(text)

    async def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["IBISFRONT_BOOT"] = str(self._folder / f"{self.name}.toml")
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["front"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    @property
    def exit_code(self) -> int | None:
        """Its exit code; None while it runs."""
        return None if self._process is None else self._process.returncode

    @property
    def log(self) -> str:
        """What it has written."""
        path = self._folder / f"{self.name}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, if it runs."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def wait(self) -> int:
        """Wait until it has ended; return its exit code."""
        assert self._process is not None
        return await self._process.wait()

    async def kill(self) -> None:
        """End it."""
        self.send_signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    async def is_ready(self) -> bool:
        """Ask it whether it is ready, as the platform does."""
        headers = {"Host": self.ready, "Connection": "close"}
        answer = await send_request(self.ready, "GET", "/readyz", headers, timeout_s=1)
        return answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until it is ready; raises ``TimeoutError``."""
        async with asyncio.timeout(timeout_s):
            is_ready = await self.is_ready()
            while not is_ready:
                await asyncio.sleep(0.1)
                is_ready = await self.is_ready()


class Answer:
    """What a caller saw of one request.

    Parameters
    ----------
    status : int or None
        The status; None if there was no complete answer.
    how : str
        How it ended, for the record.
    headers : dict of str to str, optional
        The answer's headers.
    body : bytes, optional
        Its body.
    """

    def __init__(
        self,
        status: int | None,
        how: str,
        headers: Headers | None = None,
        body: bytes = b"",
    ) -> None:
        self.status = status
        self.how = how
        self.headers = headers or {}
        self.body = body


_REQUEST_NUMBERS = itertools.count(1)


def encode_request(method: str, target: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request, with a length if it has a body."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def new_request_id() -> str:
    """Return an id of its own for an attempt."""
    return f"{next(_REQUEST_NUMBERS):06x}{secrets.token_hex(5)}"


async def send_request(
    address: str,
    method: str,
    target: str,
    headers: Headers,
    body: bytes = b"",
    *,
    timeout_s: float,
) -> Answer:
    """Send one request on a new connection and return its answer."""
    connection = KeptConnection(address)
    try:
        return await connection.send(method, target, headers, body, timeout_s=timeout_s)
    finally:
        connection.close()


class KeptConnection:
    """A caller's connection, which it keeps for its next request.

    Parameters
    ----------
    address : str
        The front process.

    Attributes
    ----------
    answered : int
        Requests that were answered on it.
    is_closed : bool
        Whether either side has closed it.
    """

    def __init__(self, address: str) -> None:
        self.answered = 0
        self.is_closed = False
        self._address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    def close(self) -> None:
        """Close it."""
        self.is_closed = True
        if self._writer is not None:
            self._writer.close()

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        *,
        timeout_s: float,
    ) -> Answer:
        """Send a request and return its answer."""
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._send(method, target, headers, body)
        except TimeoutError:
            answer = Answer(None, "deadline")
        if answer.status is None or answer.headers.get("connection") == "close":
            self.close()
        self.answered += answer.status is not None
        return answer

    async def _send(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> Answer:
        if self._reader is None or self._writer is None:
            host, _, port = self._address.rpartition(":")
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    host, int(port)
                )
            except OSError:
                return Answer(None, "no connection")
        try:
            self._writer.write(encode_request(method, target, headers, body))
            await self._writer.drain()
            message = await read_message(self._reader)
        except (ConnectionError, asyncio.IncompleteReadError):
            message = None
        if message is None:
            return Answer(None, "cut, no answer")
        first, answer_headers, answer_body = message
        status = int(first.split(" ")[1])
        return Answer(status, str(status), answer_headers, answer_body)


class Case:
    """A small deployment, which a case disrupts and judges.

    Parameters
    ----------
    record : Record
        The record of the run.
    folder : Path
        A temporary folder.
    is_disrupted : bool
        Whether the disruption takes place.

    Attributes
    ----------
    store : Store
        The platform's store.
    fronts : list of Front
        The front processes.
    servers : list of Server
        The backend servers.
    exits : list of str
        Ends of front processes that the case has not caused.
    is_over : bool
        Whether callers send nothing more.
    """

    zones: tuple[str, ...] = ("z0",)
    fronts_per_zone = 1
    restart_delay_s = 1.0

    def __init__(self, record: Record, folder: Path, *, is_disrupted: bool) -> None:
        self.record = record
        self.is_disrupted = is_disrupted
        self.store = Store()
        names = [zone for zone in self.zones for _ in range(self.fronts_per_zone)]
        self.fronts = [Front(index, zone, folder) for index, zone in enumerate(names)]
        self.servers: list[Server] = []
        self.exits: list[str] = []
        self.is_over = False
        self._is_ending = False

    def configuration(self) -> dict[str, Any]:
        """Return the operator's configuration."""
        raise NotImplementedError

    async def play(self) -> None:
        """Send requests, and disrupt the deployment."""
        raise NotImplementedError

    def judge(self) -> int:
        """Return the exit code, and record what was seen."""
        raise NotImplementedError

    async def run(self) -> None:
        """Start the deployment, play the case, and end all processes."""
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await self.store.start()
        self.store.put("config", "main", self.configuration())
        for server in self.servers:
            await server.start(self.store)
        seeds = [front.control for front in self.fronts[:3]]
        watches: list[asyncio.Task[None]] = []
        try:
            for front in self.fronts:
                front.write_settings(self.store, seeds, list(self.zones))
                await front.start()
                watches.append(asyncio.create_task(self._restart_ended(front)))
            for front in self.fronts:
                await front.wait_until_ready()
            self.record.add("all front processes are ready")
            await self.play()
        finally:
            self._is_ending = True
            for front in self.fronts:
                await front.kill()
            for watch in watches:
                watch.cancel()

    async def _restart_ended(self, front: Front) -> None:
        """Start a front process again after it has ended, as the platform does."""
        while True:
            exit_code = await front.wait()
            if self._is_ending:
                return
            self.record.add(f"{front.name} has ended with {exit_code}")
            if exit_code:
                self.exits.append(f"{front.name}: {exit_code}")
            await asyncio.sleep(self.restart_delay_s)
            if self._is_ending:
                return
            await front.start()


def run_case(case_type: type[Case], record_path: Path) -> int:
    """Run a case; return the exit code of its script."""
    record = Record(record_path)
    is_disrupted = os.environ.get("TROUBLE", "1") != "0"
    try:
        with tempfile.TemporaryDirectory() as folder:
            case = case_type(record, Path(folder), is_disrupted=is_disrupted)
            try:
                asyncio.run(case.run())
            except (OSError, TimeoutError, asyncio.CancelledError) as error:
                record.add(f"could not run: {error!r}")
                for front in case.fronts:
                    record.add(f"{front.name} wrote: {front.log[-1000:]}")
                return COULD_NOT_RUN
            for front in case.fronts:
                for line in front.log.splitlines():
                    if "Error" in line and "Traceback" not in line:
                        record.add(f"{front.name} wrote: {line.strip()[:200]}")
            return case.judge()
    finally:
        record.close()
