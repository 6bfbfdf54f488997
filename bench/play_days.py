"""Compares source trees, or sets of decisions, on days of the users' benchmark.

    python bench/play_days.py --bench FLEETBENCH --site SITE.toml --seeds 1,2,3 \
        --variant before=../before --variant now=. --variant no-packing=.:packing

A variant is a name, a checkout and, after a colon, the decisions switched off in it
(names of :class:`bergamotmast.policy.decisions.Decisions`). Each variant runs the same
days and seeds in its own copy of the checkout; journal entries are copied back to this
checkout. Prints the median and the range of each variant's score, and means of the
benchmark's other figures.
"""

from __future__ import annotations

import argparse
import concurrent.futures
import dataclasses
import json
import pathlib
import shutil
import statistics
import subprocess
import sys
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent
SWITCHED_OFF_VARIABLE = "BERGAMOTMAST_SWITCHED_OFF"
COPY_IGNORE = shutil.ignore_patterns(
    ".git", ".venv", "target", "journal", "__pycache__", ".*_cache", ".hypothesis"
)


def copy_journal_entries(copy: pathlib.Path) -> None:
    """Copy the journal entries that runs left in a copy to this checkout."""
    for entry in (copy / "journal").glob("*.json"):
        shutil.copy(entry, ROOT / "journal" / entry.name)


@dataclasses.dataclass(frozen=True)
class Variant:
    """A source tree to benchmark.

    :param switched_off: comma-separated decisions that are switched off in it.
    """

    name: str
    tree: pathlib.Path
    switched_off: str

    @classmethod
    def read(cls, text: str) -> Variant:
        """Parse ``NAME=TREE[:DECISION,...]``."""
        name, _, rest = text.partition("=")
        tree, _, switched_off = rest.partition(":")
        return cls(name, pathlib.Path(tree).resolve(), switched_off)

    def copy_to(self, folder: pathlib.Path) -> pathlib.Path:
        """Create a copy of the checkout in which the benchmark can run.

        The benchmark needs a Git repository, so the copy becomes a new one.
        """
        copy = folder / self.name
        copy_journal_entries(copy)
        shutil.rmtree(copy, ignore_errors=True)
        shutil.copytree(self.tree, copy, ignore=COPY_IGNORE, symlinks=True)
        if (self.tree / "target" / "deps").exists():
            shutil.copytree(self.tree / "target" / "deps", copy / "target" / "deps")
        if self.switched_off:
            deploy = copy / "deploy" / "system.toml"
            deploy.write_text(
                deploy.read_text()
                + f'{SWITCHED_OFF_VARIABLE} = "{self.switched_off}"\n'
            )
        for command in ("git init -q", "git add -A", "git commit -qm trial"):
            subprocess.run(command.split(), cwd=copy, check=True)
        return copy


@dataclasses.dataclass(frozen=True)
class DayRun:
    """The benchmark's report on one day with one seed, served by one variant."""

    variant: str
    site: str
    day: str
    seed: int
    report: dict

    def deduction(self, name: str) -> float:
        """Return what the benchmark deducts from the score under a name."""
        return sum(row[2] for row in self.report["prices"] if row[0] == name)


def day_names(site: pathlib.Path) -> list[str]:
    """Return the names of a site's standard days."""
    return [day["name"] for day in tomllib.loads(site.read_text())["day"]]


def run_day(
    bench: str,
    copies: dict[str, pathlib.Path],
    job: tuple[str, pathlib.Path, str, int],
    options: argparse.Namespace,
) -> DayRun | None:
    """Run one day of the benchmark.

    :param copies: checkout of each variant.
    :param job: variant, site file, day and seed; seed 0 is the day's own.
    :return: ``None`` if the benchmark wrote no report.
    """
    name, site, day, seed = job
    copy = copies[name]
    reports = copy.parent / "reports"
    reports.mkdir(exist_ok=True)
    report = reports / f"{name}-{site.stem}-{day}-{seed}.json"
    report.unlink(missing_ok=True)
    command = [bench, "run", str(site), day, "--report", str(report)]
    command += ["--why", f"{options.why} ({name}, seed {seed})"]
    if seed:
        command += ["--seed", str(seed)]
    if not options.cpu:
        command.append("--no-cpu")
    if options.small:
        command.append("--small")
    completed = subprocess.run(
        command, cwd=copy, capture_output=True, text=True, check=False
    )
    copy_journal_entries(copy)
    if not report.exists():
        print(
            name,
            day,
            seed,
            completed.stdout[-600:],
            completed.stderr[-300:],
            file=sys.stderr,
        )
        return None
    return DayRun(name, site.stem, day, seed, json.loads(report.read_text()))


def summary(runs: list[DayRun]) -> str:
    """Return a one-line summary of runs of one variant."""
    scores = [p.report["G"] for p in runs]
    cells = [
        f"worth {statistics.median(scores):.3f} (mean {statistics.mean(scores):.3f}"
    ]
    cells[0] += f", {min(scores):.3f} to {max(scores):.3f})"
    for key in ("served", "refused", "failed"):
        cells.append(f"{key} {statistics.mean(p.report[key] for p in runs):.3f}")
    for weight, part in enumerate(runs[0].report["parts"]):
        values = [p.report["parts"][weight][2] for p in runs]
        cells.append(f"{part[0]} {statistics.mean(values):.3f}")
    names = {row[0]: 0.0 for row in runs[0].report["prices"]}
    means = {name: statistics.mean(p.deduction(name) for p in runs) for name in names}
    largest = sorted(means.items(), key=lambda item: -item[1])[:4]
    cells.append(f"prices {sum(means.values()):.3f}")
    cells += [f"{name[:32]} {value:.4f}" for name, value in largest]
    violations = [
        f"{p.day}/{p.seed}:{','.join(p.report['breaks'])}"
        for p in runs
        if p.report["breaks"]
    ]
    missed_count = sum(bool(p.report["missed"]) for p in runs)
    if violations:
        cells.append(f"BROKEN {' '.join(violations)}")
    if missed_count:
        cells.append(f"floors missed in {missed_count}")
    return "; ".join(cells)


def difference(runs: list[DayRun], baseline: list[DayRun]) -> str:
    """Return the mean score difference from the first variant on the same days."""
    baseline_scores = {(p.day, p.seed): p.report["G"] for p in baseline}
    pairs = [(p.report["G"], baseline_scores.get((p.day, p.seed))) for p in runs]
    differences = [
        score - baseline_score
        for score, baseline_score in pairs
        if baseline_score is not None
    ]
    if not differences:
        return "nothing to compare"
    error = statistics.pstdev(differences) / len(differences) ** 0.5
    return f"{statistics.mean(differences):+.3f} (standard error {error:.3f})"


def main() -> None:
    """Run all days with all variants and print a summary of each."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--bench", required=True)
    parser.add_argument("--site", action="append", required=True, type=pathlib.Path)
    parser.add_argument("--variant", action="append", required=True, type=Variant.read)
    parser.add_argument(
        "--days", default="", help="comma-separated names; the standard days if empty"
    )
    parser.add_argument(
        "--seeds", default="0", help="comma-separated; 0 is the day's own"
    )
    parser.add_argument("--folder", type=pathlib.Path, default=ROOT.parent / "plays")
    parser.add_argument("--jobs", type=int, default=3, help="parallel runs")
    parser.add_argument("--cpu", action="store_true", help="measure processor time")
    parser.add_argument(
        "--small", action="store_true", help="run the small variants of the days"
    )
    parser.add_argument("--why", default="Variants side by side")
    options = parser.parse_args()
    options.folder.mkdir(parents=True, exist_ok=True)
    copies = {v.name: v.copy_to(options.folder) for v in options.variant}
    for copy in copies.values():
        subprocess.run(
            [options.bench, "build"], cwd=copy, capture_output=True, check=True
        )
    jobs = [
        (variant.name, site, day, int(seed))
        for site in options.site
        for day in (options.days.split(",") if options.days else day_names(site))
        for seed in options.seeds.split(",")
        for variant in options.variant
    ]
    with concurrent.futures.ThreadPoolExecutor(options.jobs) as pool:
        results = pool.map(
            lambda job: run_day(options.bench, copies, job, options), jobs
        )
        runs = [result for result in results if result is not None]
    for site in options.site:
        print(f"== {site.stem}")
        site_runs = [p for p in runs if p.site == site.stem]
        baseline = [p for p in site_runs if p.variant == options.variant[0].name]
        for variant in options.variant:
            own_runs = [p for p in site_runs if p.variant == variant.name]
            if own_runs:
                print(f"{variant.name:20} {len(own_runs):3} plays: {summary(own_runs)}")
                print(" " * 21 + f"against the first: {difference(own_runs, baseline)}")
                by_day: dict[str, list[float]] = {}
                for p in own_runs:
                    by_day.setdefault(p.day, []).append(p.report["G"])
                print(
                    " " * 21
                    + "  ".join(
                        f"{d} {statistics.median(day_scores):.3f}"
                        for d, day_scores in by_day.items()
                    )
                )


if __name__ == "__main__":
    main()
