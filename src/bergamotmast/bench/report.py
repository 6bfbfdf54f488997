"""HTML report: load mix, roles, queue lengths and goodput of runs over time."""

from __future__ import annotations

import collections.abc as cabc
import html
import pathlib
import typing as t

from ..model import Role
from .metrics import RunResult
from .summary import PolicySummary
from .summary import summarise

if t.TYPE_CHECKING:
    from matplotlib.axes import Axes

WIDTH_INCHES = 9.0
PANEL_INCHES = 1.9

_PAGE = """<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Policies under load</title>
<style>
body {{ font: 15px/1.4 sans-serif; max-width: 60rem; margin: 2rem auto; }}
table {{ border-collapse: collapse; }}
td, th {{ padding: .2rem .7rem; text-align: right; border-bottom: 1px solid #ccc; }}
td:nth-child(-n+2), th:nth-child(-n+2) {{ text-align: left; }}
</style>
<h1>Policies under load</h1>
{table}
{plots}
</html>
"""

_COLUMNS = (
    ("goodput, tokens/s", "goodput"),
    ("share of bound", "oracle_share"),
    ("met", "met_share"),
    ("role changes", "role_changes"),
    ("engine-seconds lost", "engine_seconds_lost"),
    ("wasted", "wasted_share"),
    ("least tenant", "least_tenant"),
)


def write_report(directory: pathlib.Path, results: cabc.Sequence[RunResult]) -> None:
    """Write ``index.html`` with a table, and a plot of each scenario's first seed."""
    directory.mkdir(parents=True, exist_ok=True)
    plots = []
    for scenario in dict.fromkeys(r.scenario for r in results):
        shown = [r for r in results if r.scenario == scenario]
        shown = [r for r in shown if r.seed == shown[0].seed]
        name = f"{scenario.replace('/', '-')}.png"
        _plot(directory / name, shown)
        plots.append(f"<h2>{html.escape(scenario)}</h2><img src={name!r} width=100%>")
    page = _PAGE.format(table=_table(summarise(results)), plots="\n".join(plots))
    (directory / "index.html").write_text(page)


def _table(summaries: cabc.Sequence[PolicySummary]) -> str:
    header = "".join(f"<th>{title}</th>" for title, _ in _COLUMNS)
    rows = "".join(_row(s) for s in summaries)
    return f"<table><tr><th>scenario</th><th>policy</th>{header}</tr>{rows}</table>"


def _row(summary: PolicySummary) -> str:
    cells = "".join(f"<td>{getattr(summary, name):.3f}</td>" for _, name in _COLUMNS)
    names = f"<td>{html.escape(summary.scenario)}</td><td>{summary.policy}</td>"
    return f"<tr>{names}{cells}</tr>"


def _plot(path: pathlib.Path, results: cabc.Sequence[RunResult]) -> None:
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    rows = 3 + len(results)
    figure, axes = pyplot.subplots(
        rows, 1, sharex=True, figsize=(WIDTH_INCHES, PANEL_INCHES * rows)
    )
    _plot_mix(axes[0], results[0])
    for result in results:
        at = [p.at for p in result.timeline]
        axes[1].plot(at, [p.goodput for p in result.timeline], label=result.policy)
        axes[2].plot(at, [p.queued for p in result.timeline], label=result.policy)
    axes[1].set_ylabel("goodput, tokens/s")
    axes[1].legend(fontsize=7)
    axes[2].set_ylabel("queued")
    for axis, result in zip(axes[3:], results, strict=True):
        _plot_roles(axis, result)
    axes[-1].set_xlabel("seconds")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    pyplot.close(figure)


def _plot_mix(axis: Axes, result: RunResult) -> None:
    at = [p.at for p in result.timeline]
    axis.plot(at, [p.prompt_rate for p in result.timeline], label="prompt")
    axis.plot(at, [p.output_rate for p in result.timeline], label="output")
    axis.set_ylabel("offered, tokens/s")
    axis.legend(fontsize=7)


def _plot_roles(axis: Axes, result: RunResult) -> None:
    at = [p.at for p in result.timeline]
    layers = [[p.roles.get(r.value, 0) for p in result.timeline] for r in Role]
    axis.stackplot(at, layers, labels=[r.value for r in Role], step="post")
    axis.set_ylabel(f"{result.policy}\nengines", fontsize=7)
    axis.legend(fontsize=6, loc="lower left")
