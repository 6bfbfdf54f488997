"""Runs Spin on each specification, whole and with each safeguard removed.

The whole specification must hold. Each broken twin, made with ``-D<FLAG>`` for a flag
that the specification names, must be rejected: this is what shows that the
properties can fail.

Run ``python spec/check.py`` for all, or with names: ``python spec/check.py claim``.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import os
import pathlib
import re
import subprocess
import sys
import tempfile
import time

DIRECTORY = pathlib.Path(__file__).resolve().parent
MEMORY_MEGABYTES = 1024
DEPTH = 100_000
SECONDS = 60.0
COMPILE = ("gcc", "-w", "-DSAFETY", "-DCOLLAPSE", f"-DMEMLIM={MEMORY_MEGABYTES}")
AT_ONCE = 4

_CONDITIONAL = re.compile(r"^#ifn?def (\w+)|defined\((\w+)\)", re.MULTILINE)
_ERRORS = re.compile(r"errors: (\d+)")
_STATES = re.compile(r"(\d+) states, stored")
_PROPERTY = re.compile(r"assertion violated (.*) \(at depth")


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One specification, whole or without one safeguard.

    :param flag: the safeguard removed; empty for the whole specification.
    """

    name: str
    flag: str = ""

    def __str__(self) -> str:
        return f"{self.name}-{self.flag}" if self.flag else self.name


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found.

    :param complete: whether every reachable state was visited, or an error found.
    :param broken: the assertion that failed; empty if none did.
    """

    case: Case
    complete: bool
    broken: str
    states: int
    seconds: float

    @property
    def as_expected(self) -> bool:
        """Whether a whole specification held, or a broken twin was rejected."""
        return self.complete and bool(self.broken) is bool(self.case.flag)

    def __str__(self) -> str:
        word = "as expected" if self.as_expected else "WRONG"
        found = f"rejected: {self.broken}" if self.broken else "holds"
        count = f"{self.states:>8} states {self.seconds:5.1f} s"
        return f"{self.case!s:36} {word:11} {count}  {found}"


def flags(name: str) -> list[str]:
    """Return the safeguards that a specification can be run without."""
    text = (DIRECTORY / f"{name}.pml").read_text()
    found = {first or second for first, second in _CONDITIONAL.findall(text)}
    return sorted(found)


def cases() -> list[Case]:
    """Return every specification, each followed by its broken twins."""
    names = sorted(path.stem for path in DIRECTORY.glob("*.pml"))
    return [Case(name, flag) for name in names for flag in ["", *flags(name)]]


def run(case: Case) -> Verdict:
    """Check one case in a temporary directory.

    :raises subprocess.CalledProcessError: if Spin or the compiler refuses it.
    """
    begin = time.monotonic()
    source = DIRECTORY / f"{case.name}.pml"
    define = [f"-D{case.flag}"] if case.flag else []
    # The shortest way to a broken property is found first, and early, when the twins
    # are searched breadth first.
    # Their search is short, so that the compiler's own work is most of the time.
    options = ["-O0", "-DBFS"] if case.flag else ["-O2"]
    with tempfile.TemporaryDirectory() as directory:
        _call(["spin", "-a", *define, os.fspath(source)], directory)
        _call([*COMPILE, *options, "-o", "pan", "pan.c"], directory)
        output = _call(["./pan", f"-m{DEPTH}", "-n"], directory)
    return _verdict(case, output, time.monotonic() - begin)


def _call(command: list[str], directory: str) -> str:
    return subprocess.run(
        command,
        cwd=directory,
        check=True,
        capture_output=True,
        text=True,
        timeout=SECONDS,
    ).stdout


def _verdict(case: Case, output: str, seconds: float) -> Verdict:
    errors = _ERRORS.search(output)
    states = _STATES.search(output)
    broken = _PROPERTY.search(output)
    cut_short = "Search not completed" in output or "max search depth" in output
    return Verdict(
        case=case,
        complete=errors is not None and (bool(broken) or not cut_short),
        broken=broken.group(1) if broken else "",
        states=int(states.group(1)) if states else 0,
        seconds=seconds,
    )


def main() -> int:
    """Check what the command line names and print a line for each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("names", nargs="*", help="specifications; all by default")
    names = parser.parse_args().names
    chosen = [case for case in cases() if not names or case.name in names]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(AT_ONCE) as pool:
        for verdict in pool.map(run, chosen):
            failed += not verdict.as_expected
            print(verdict, flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
