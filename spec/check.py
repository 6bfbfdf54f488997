"""Model-checks each specification with Spin, and each of its mutants.

The unmodified specification must hold. A mutant lacks one safeguard; it is compiled
with ``-D<FLAG>`` for a flag that the specification names. Spin must find a violation in
each mutant, which shows that the properties can fail.

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
MAX_MEMORY_MEGABYTES = 1024
MAX_SEARCH_DEPTH = 100_000
TIMEOUT_SECONDS = 60.0
COMPILE_COMMAND = (
    "gcc",
    "-w",
    "-DSAFETY",
    "-DCOLLAPSE",
    f"-DMEMLIM={MAX_MEMORY_MEGABYTES}",
)
MAX_CONCURRENT_CHECKS = 4

_CONDITIONAL = re.compile(r"^#ifn?def (\w+)|defined\((\w+)\)", re.MULTILINE)
_ERRORS = re.compile(r"errors: (\d+)")
_STATES = re.compile(r"(\d+) states, stored")
_PROPERTY = re.compile(r"assertion violated (.*) \(at depth")


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One specification, unmodified or without one safeguard.

    :param flag: flag that removes a safeguard; empty for the unmodified specification.
    """

    name: str
    flag: str = ""

    def __str__(self) -> str:
        return f"{self.name}-{self.flag}" if self.flag else self.name


@dataclasses.dataclass(frozen=True, slots=True)
class CheckResult:
    """Result of the model checker on one case.

    :param complete: whether every reachable state was visited, or a violation found.
    :param violated: the assertion that was violated; empty if none was.
    :param states: number of states stored.
    :param seconds: duration of the check, including compilation.
    """

    case: Case
    complete: bool
    violated: str
    states: int
    seconds: float

    @property
    def as_expected(self) -> bool:
        """Whether an unmodified specification held, or a mutant was rejected."""
        return self.complete and bool(self.violated) is bool(self.case.flag)

    def __str__(self) -> str:
        status = "as expected" if self.as_expected else "WRONG"
        found = f"rejected: {self.violated}" if self.violated else "holds"
        count = f"{self.states:>8} states {self.seconds:5.1f} s"
        return f"{self.case!s:36} {status:11} {count}  {found}"


def flags(name: str) -> list[str]:
    """Return the flags that remove safeguards of a specification."""
    text = (DIRECTORY / f"{name}.pml").read_text()
    found = {first or second for first, second in _CONDITIONAL.findall(text)}
    return sorted(found)


def cases() -> list[Case]:
    """Return every specification, each followed by its mutants."""
    names = sorted(path.stem for path in DIRECTORY.glob("*.pml"))
    return [Case(name, flag) for name in names for flag in ["", *flags(name)]]


def run(case: Case) -> CheckResult:
    """Check one case in a temporary directory.

    :raises subprocess.CalledProcessError: if Spin or the compiler reports an error.
    :raises subprocess.TimeoutExpired: if a step takes longer than allowed.
    """
    start = time.monotonic()
    source = DIRECTORY / f"{case.name}.pml"
    define = [f"-D{case.flag}"] if case.flag else []
    # Breadth-first search finds the shortest counterexample of a mutant, and early. The
    # search is then so short that compilation takes most of the time, hence -O0.
    options = ["-O0", "-DBFS"] if case.flag else ["-O2"]
    with tempfile.TemporaryDirectory() as directory:
        _call(["spin", "-a", *define, os.fspath(source)], directory)
        _call([*COMPILE_COMMAND, *options, "-o", "pan", "pan.c"], directory)
        output = _call(["./pan", f"-m{MAX_SEARCH_DEPTH}", "-n"], directory)
    return _parse_output(case, output, time.monotonic() - start)


def _call(command: list[str], directory: str) -> str:
    return subprocess.run(
        command,
        cwd=directory,
        check=True,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    ).stdout


def _parse_output(case: Case, output: str, seconds: float) -> CheckResult:
    errors = _ERRORS.search(output)
    states = _STATES.search(output)
    violated = _PROPERTY.search(output)
    cut_short = "Search not completed" in output or "max search depth" in output
    return CheckResult(
        case=case,
        complete=errors is not None and (bool(violated) or not cut_short),
        violated=violated.group(1) if violated else "",
        states=int(states.group(1)) if states else 0,
        seconds=seconds,
    )


def main() -> int:
    """Check the specifications named as arguments; print a line for each case."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "names", nargs="*", help="names of specifications; all by default"
    )
    names = parser.parse_args().names
    chosen = [case for case in cases() if not names or case.name in names]
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_CHECKS) as pool:
        for verdict in pool.map(run, chosen):
            failed += not verdict.as_expected
            print(verdict, flush=True)
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
