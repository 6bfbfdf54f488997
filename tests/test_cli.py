from __future__ import annotations

import pathlib
import subprocess
import sys

import pytest

from bergamotmast import __version__
from bergamotmast.cli import COMMANDS
from bergamotmast.cli import EXIT_INTERRUPTED
from bergamotmast.cli import Command
from bergamotmast.cli import main
from bergamotmast.commands import config

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"


def test_the_package_can_be_run_as_a_module():
    command = [sys.executable, "-m", "bergamotmast", "--version"]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    assert result.stdout == f"bergamotmast {__version__}\n"


@pytest.mark.parametrize("command", COMMANDS, ids=lambda command: command.name)
def test_each_command_has_help(command: Command, capsys):
    with pytest.raises(SystemExit, match="0"):
        main([command.name, "--help"])
    assert f"usage: bergamotmast {command.name}" in capsys.readouterr().out


def test_help_lists_the_commands_without_importing_them(capsys):
    with pytest.raises(SystemExit, match="0"):
        main(["--help"])
    shown = capsys.readouterr().out
    assert all(command.help in shown for command in COMMANDS)


def test_an_invalid_command_exits_with_2(capsys):
    with pytest.raises(SystemExit, match="2"):
        main(["confg"])
    assert "invalid choice: 'confg'" in capsys.readouterr().err


def test_valid_files_pass_the_check(capsys):
    names = [str(path) for path in sorted(EXAMPLES.glob("*/config.yaml"))]
    assert main(["config", "check", *names]) == 0
    assert capsys.readouterr().out.count(": valid, ") == 2


def test_an_error_sets_the_exit_code_and_is_shown(tmp_path, capsys):
    path = tmp_path / "c.yaml"
    path.write_text("label: {}")
    assert main(["config", "check", str(path)]) == 3
    shown = capsys.readouterr().err
    assert shown.startswith(f"Error 602: {path}:1: label: there is no field 'label'")


def test_an_interrupt_exits_with_the_code_of_sigint(monkeypatch):
    def interrupt(arguments: object) -> int:
        raise KeyboardInterrupt

    monkeypatch.setattr(config, "run", interrupt)
    assert main(["config", "check", "x"]) == EXIT_INTERRUPTED


def test_bench_without_its_extra_says_what_to_install(monkeypatch, capsys):
    monkeypatch.setattr("importlib.util.find_spec", lambda name: None)
    assert main(["bench", "--list"]) == 2
    assert "bergamotmast[bench]" in capsys.readouterr().err
