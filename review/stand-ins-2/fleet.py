"""Starts entries by the deploy file, and the record of a run."""

from __future__ import annotations

import asyncio
import contextlib
import os
import pathlib
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib

import http1

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "ficu95.example"

SMALL_SITE = {
    "zone": "maia-a",
    "limits.memory-mb": "300",
    "limits.max-fds": "4100",
    "platform.writes-per-s": "400",
    "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,platform",
    "bounds.stable-window-ms": "3000",
    "bounds.grace-s": "8",
    "bounds.lease-ms": "3000",
    "bounds.budget-ratio": "0.2",
    "bounds.budget-slack": "58",
}
"""Settings of a machine of the site `trindade-arq`."""


MAX_SECONDS = 112.0
"""Time after which a case that has not ended couldn't run."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("w")
        self.began = time.monotonic()

    def __call__(self, text: str) -> None:
        line = f"{time.monotonic() - self.began:8.3f}  {text}"
        print(line, file=self.file, flush=True)


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        held = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in held:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in held]


def _render(text: str, values: dict[str, str]) -> str:
    def inverted(match: re.Match) -> str:
        return "" if values.get(match[1]) else match[2]

    text = re.sub(r"\{\{\^([^}]+)\}\}(.*?)\{\{/\1\}\}", inverted, text)
    return re.sub(r"\{\{([^}]+)\}\}", lambda match: values.get(match[1], ""), text)


STARTED: list[Entry] = []
"""All entries of this run, which are ended with it."""


class Entry:
    """One machine with the role of the deploy file; each start is a new process."""

    def __init__(self, name: str, store: str, folder: str, **settings: str) -> None:
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        self.name, self.folder = name, folder
        front, ready, peer, metrics = _free_ports(4)
        self.front, self.ready = front, ready
        values = SMALL_SITE | {
            "node-name": name,
            "ip": "127.0.0.1",
            "platform.address": store,
            "listen.front": f"127.0.0.1:{front}",
            "listen.ready": f"127.0.0.1:{ready}",
            "internal-ports.0": str(peer),
        }
        values |= {key.replace("__", ".").replace("_", "-"): v for key, v in settings.items()}
        self.command = role["run"].split()
        self.env = {name: _render(text, values) for name, text in role["env"].items()}
        self.env["BERGAMOTMAST_METRICS_ADDRESS"] = f"127.0.0.1:{metrics}"
        self.env = {name: value for name, value in self.env.items() if value}
        self.process: asyncio.subprocess.Process | None = None
        STARTED.append(self)

    async def start(self) -> None:
        """Start the process and wait until it is ready."""
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        kept["PYTHONPATH"] = str(ROOT / "target/deps")
        with open(f"{self.folder}/{self.name}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self.command, cwd=ROOT, env=kept | self.env, stdout=log, stderr=log
            )
        until = time.monotonic() + 20
        while not await self.is_ready():
            if self.process.returncode is not None or time.monotonic() > until:
                raise CannotRun(f"{self.name} does not start")
            await asyncio.sleep(0.05)

    async def is_ready(self) -> bool:
        with contextlib.suppress(OSError, TimeoutError, http1.BrokenOff):
            async with asyncio.timeout(1.0):
                answer = await ask(self.ready, "GET", "/readiness", {})
                return answer is not None and answer.status == 200
        return False

    def send(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory without the pages of files; 0 if it has ended."""
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (FileNotFoundError, ProcessLookupError):
            return 0.0
        for line in status.splitlines():
            if line.startswith("RssAnon:"):
                return int(line.split()[1]) * 1024 / 1e6
        return 0.0


async def guard_memory(entry: Entry, most: float, state: dict, record) -> None:
    """Kill the process when it exceeds its memory, as the platform does.

    :param state: receives the largest memory, and the kill.
    """
    key = entry.name
    while True:
        memory = entry.memory_mb()
        state[key] = max(state.get(key, 0.0), memory)
        if memory > most:
            record(f"{key} has {memory:.0f} MB of {most:.0f}; the platform kills it")
            state.setdefault("killed", []).append(key)
            await entry.kill()
            return
        await asyncio.sleep(0.002)


async def keep_ordering(port: int, name: str, state: dict, pause: float) -> None:
    """Send orders on a kept channel, and on a new one if it ends, until told to stop.

    :param state: receives the statuses of all orders; 0 for none.
    """
    count = 0
    while not state.get("stop"):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            await asyncio.sleep(0.1)
            continue
        answer: object = True
        while answer is not None and not state.get("stop"):
            count += 1
            own = f"{name}-{count}"
            headers = {"X-Request-Id": own, "X-Deadline-Ms": "1000"}
            answer = None
            with contextlib.suppress(ConnectionError, http1.BrokenOff):
                writer.write(request("POST", f"/order/{own}", headers, b"x"))
                answer = await http1.read_message(reader)
            state.setdefault("orders", {})[own] = answer.status if answer else 0
            await asyncio.sleep(pause)
        writer.close()


class CannotRun(Exception):
    """The case couldn't run."""


async def ask(port: int, method: str, path: str, headers: dict, body: bytes = b""):
    """Send a request on a channel of its own; ``None`` if it ends without an answer."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        writer.write(request(method, path, headers, body))
        return await http1.read_message(reader)
    except (ConnectionError, http1.BrokenOff):
        return None
    finally:
        writer.close()


def request(method: str, path: str, headers: dict, body: bytes = b"") -> bytes:
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def route(prefix: str, kind: str, service: str, **changes) -> dict:
    found = {
        "name": "r" + prefix.strip("/"),
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeout-ms": 8000,
        "target-latency-ms": 250,
        "priority": 0,
        "service": service,
        "max-attempts": 1,
    }
    return found | {name.replace("_", "-"): value for name, value in changes.items()}


LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 4194304,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}
ENGINE = {
    "slots": 64,
    "kv-capacity-tokens": 477670,
    "token-kv-bytes": 163840,
    "link-mbps": 1300000.0,
    "handle-ttl-s": 5.0,
    "switch-time-s": 3.0,
}


def service(name: str, **more) -> dict:
    base = {"name": name, "health-path": "/health", "max-connections": 370}
    return base | {"protocol": "h1", "tls": False} | more


def config(version: int, routes: list, services: list, **more) -> dict:
    base = {"version": version, "routes": routes, "services": services}
    return base | {"limits": LIMITS} | more


def play(main) -> None:
    """Run a case: `await main(trouble, record, folder)` returns whether it held."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    case = pathlib.Path(sys.argv[0]).resolve().parent

    async def run() -> bool:
        record = Record(case / "record.txt")
        record(f"trouble: {'yes' if trouble else 'no'}")
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        with tempfile.TemporaryDirectory() as folder:
            try:
                async with asyncio.timeout(MAX_SECONDS):
                    held = await main(trouble, record, folder)
            finally:
                for entry in STARTED:
                    await entry.kill()
        record("the rule held" if held else "the rule was broken")
        return held

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    print("held" if held else "broken")
    sys.exit(0 if held else 1)
