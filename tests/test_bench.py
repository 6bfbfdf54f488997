from __future__ import annotations

import argparse
import json
import pathlib

import msgspec
import pytest

from bergamotmast.bench import cli
from bergamotmast.bench.fleet import Fleet
from bergamotmast.bench.fleet import deployment
from bergamotmast.bench.fleet import read_fleet
from bergamotmast.bench.metrics import jain
from bergamotmast.bench.oracle import Outage
from bergamotmast.bench.oracle import oracle_tokens
from bergamotmast.bench.scenarios import build_scenario
from bergamotmast.bench.scenarios import scenario_names
from bergamotmast.bench.trace import TraceError
from bergamotmast.bench.trace import TraceRequest
from bergamotmast.bench.trace import read_trace
from bergamotmast.bench.trace import write_trace
from bergamotmast.errors import SettingError
from bergamotmast.policy.presets import BASELINES

REQUESTS = [
    TraceRequest(
        at=0.2 * number,
        tenant=f"tenant-{number % 3}",
        klass="question",
        model="model",
        prompt_tokens=400,
        output_tokens=20 + number % 50,
        prefix="head" if number % 2 else None,
        deadline=30.0,
    )
    for number in range(40)
]


@pytest.fixture
def trace(tmp_path: pathlib.Path) -> pathlib.Path:
    path = tmp_path / "trace.jsonl"
    write_trace(path, REQUESTS)
    return path


def arguments(*flags: str) -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    cli.add_arguments(parser)
    return parser.parse_args([*flags, "--processes", "1"])


def test_trace_round_trip(trace: pathlib.Path) -> None:
    assert list(read_trace(trace)) == REQUESTS
    assert json.loads(trace.read_bytes().splitlines()[0])["class"] == "question"


def test_trace_error_names_the_line(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "bad.jsonl"
    path.write_text('{"at": 1}\n{"at": "late"}\n')
    with pytest.raises(TraceError, match="line 2"):
        read_trace(path)


def test_custom_fleet_file_runs(
    trace: pathlib.Path,
    tmp_path: pathlib.Path,
    capfdbinary: pytest.CaptureFixture[bytes],
) -> None:
    fleet = tmp_path / "fleet.json"
    fleet.write_text(
        '{"upstreams": [{"name": "a", "zone": "z", "labels": {"gpu": "old"},'
        ' "rates": {"mixed": {"prefill_rate": 4000, "step_base": 0.02,'
        ' "step_per_stream": 0.001, "max_streams": 16}}}], "comment": "ours"}'
    )
    flags = ["--trace", str(trace), "--fleet", str(fleet), "--json"]
    assert cli.run(arguments(*flags, "--policy", "least-outstanding")) == 0
    (result,) = json.loads(capfdbinary.readouterr().out)
    assert result["counts"]["met"] == len(REQUESTS)


@pytest.mark.parametrize("policy", ["default", *BASELINES])
def test_same_seed_gives_identical_output(
    policy: str, trace: pathlib.Path, capfdbinary: pytest.CaptureFixture[bytes]
) -> None:
    outputs = []
    for _ in range(2):
        cli.run(arguments("--trace", str(trace), "--json", "--policy", policy))
        outputs.append(capfdbinary.readouterr().out)
    assert outputs[0] == outputs[1]
    assert json.loads(outputs[0])[0]["counts"]["met"] == len(REQUESTS)


def test_report_is_written(trace: pathlib.Path, tmp_path: pathlib.Path) -> None:
    cli.run(arguments("--trace", str(trace), "--report", str(tmp_path / "page")))
    assert "trace.jsonl" in (tmp_path / "page" / "index.html").read_text()
    assert list((tmp_path / "page").glob("*.png"))


@pytest.mark.parametrize(
    ("flags", "message"),
    [
        (["--scenario", "trindade/slow-drft"], "trindade/slow-drift"),
        (["--scenario", "trindade/burst", "--policy", "randm"], "random"),
        (["--scenario", "trindade/burst", "--seed", "x"], "--seed"),
        ([], "--trace"),
    ],
)
def test_errors_name_what_is_allowed(flags: list[str], message: str) -> None:
    with pytest.raises(SettingError, match=message):
        cli.run(arguments(*flags))


@pytest.mark.parametrize("name", scenario_names())
def test_scenarios_are_reproducible_from_the_seed(name: str) -> None:
    scenario = build_scenario(name, 1)
    assert scenario.requests == build_scenario(name, 1).requests
    assert scenario.requests != build_scenario(name, 2).requests


def test_fleet_files_of_both_deployments_are_in_the_examples() -> None:
    directory = pathlib.Path(__file__).parent.parent / "examples" / "fleets"
    for name in ("trindade", "alliance"):
        assert read_fleet(directory / f"{name}.json") == deployment(name)  # type: ignore[arg-type]


def long_request(at: float, deadline: float) -> TraceRequest:
    return TraceRequest(
        at=at, model="m", prompt_tokens=1, output_tokens=1000, deadline=deadline
    )


def fleet_of_one_engine() -> Fleet:
    fleet = deployment("trindade")
    return msgspec.structs.replace(fleet, upstreams=fleet.engines()[:1])


def test_oracle_bound_of_feasible_load_is_the_whole_load() -> None:
    assert oracle_tokens(
        [long_request(0.0, 60.0)], fleet_of_one_engine()
    ) == pytest.approx(1000)


def test_oracle_bound_of_overload_is_the_capacity() -> None:
    # An engine decodes at most 1538 tokens a second; all requests must end in 20 s.
    requests = [long_request(0.0, 20.0)] * 100
    bound = oracle_tokens(requests, fleet_of_one_engine())
    assert bound == pytest.approx(20.0 * 1538, rel=0.01)


def test_oracle_bound_excludes_outages_and_infeasible_requests() -> None:
    outages = [Outage("model-0", 0.0, 10.0)]
    requests = [long_request(0.0, 20.0)] * 100
    bound = oracle_tokens(requests, fleet_of_one_engine(), outages)
    assert bound == pytest.approx(10.0 * 1538, rel=0.01)
    assert oracle_tokens([long_request(0.0, 5.0)], fleet_of_one_engine()) == 0.0


def test_jain_index() -> None:
    assert jain([1.0, 1.0, 1.0]) == 1.0
    assert jain([1.0, 0.0]) == 0.5
