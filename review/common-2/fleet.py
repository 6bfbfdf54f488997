"""Starts entries with the command and the variables of the deploy file."""

from __future__ import annotations

import asyncio
import os
import pathlib
import re
import signal
import socket
import time
import tomllib

from http11 import call

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

_SECTION = re.compile(r"\{\{\^([^}]+)\}\}(.*?)\{\{/\1\}\}")
_VALUE = re.compile(r"\{\{([^}#^/]+)\}\}")


def free_ports(host: str, count: int) -> list[int]:
    """Return ports that are free for TCP and UDP at an address."""
    held, ports = [], []
    while len(ports) < count:
        tcp = socket.socket()
        tcp.bind((host, 0))
        port = tcp.getsockname()[1]
        udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        held += [tcp, udp]
        try:
            udp.bind((host, port))
        except OSError:
            continue
        ports.append(port)
    for each in held:
        each.close()
    return ports


def fill(text: str, fields: dict[str, str]) -> str:
    """Fill in a template as DEPLOY.md tells it, as far as the deploy file needs."""
    text = _SECTION.sub(
        lambda m: "" if fields.get(m[1].strip()) else fill(m[2], fields), text
    )
    return _VALUE.sub(lambda m: fields.get(m[1].strip(), ""), text)


class Entry:
    """One machine with an entry."""

    def __init__(self, number: int, fields: dict[str, str], log: pathlib.Path) -> None:
        self.number = number
        self.name = f"front-{number}"
        self.ip = f"127.{100 + number}.{os.getpid() % 250 + 1}.7"
        front, ready, peer = free_ports(self.ip, 3)
        self.front = f"{self.ip}:{front}"
        self.ready = f"{self.ip}:{ready}"
        self.fields = fields | {
            "node-name": self.name,
            "zone": "zone-a",
            "ip": self.ip,
            "listen.front": self.front,
            "listen.ready": self.ready,
            "internal-ports.0": str(peer),
        }
        self.log = log / f"{self.name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.started_at = 0.0

    async def start(self) -> None:
        """Start the process."""
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["entry"]
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        for name, text in role["env"].items():
            environment[name] = fill(text, self.fields)
        with self.log.open("ab") as output:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(" "),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )
        self.started_at = time.monotonic()

    @property
    def runs(self) -> bool:
        return self.process is not None and self.process.returncode is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process that this script started."""
        if self.runs:
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            await self.process.wait()

    def memory_mb(self) -> float:
        """Return the resident memory of the process, in MB; 0 if it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except (OSError, AttributeError):
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1024 / 1e6 if found else 0.0

    def cpu_seconds(self) -> float:
        """Return the processor time that the process has used so far."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/stat").read_text()
        except (OSError, AttributeError):
            return 0.0
        fields = text.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self) -> bool:
        """Return whether the readiness probe is answered with 200."""
        got = await call(
            self.ready, "GET", "/readiness", [("Host", self.ready)], timeout=1.0
        )
        return got is not None and got[0] == 200

    async def until_ready(self, seconds: float = 20.0) -> bool:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False


def base_fields(store: str, **more: str) -> dict[str, str]:
    """Return the settings of a small deployment; underscores stand for hyphens."""
    fields = {
        "platform.address": store,
        "platform.writes-per-s": "400",
        "limits.memory-mb": "300",
        "limits.max-fds": "1000",
        "contracts": "base,drain,config,cost,retry,recover,split,stream,engine,platform",
        "bounds.stable-window-ms": "3000",
        "bounds.grace-s": "8",
        "bounds.lease-ms": "3000",
        "bounds.budget-ratio": "0.2",
        "bounds.budget-slack": "56",
    }
    return fields | more
