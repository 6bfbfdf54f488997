from __future__ import annotations

import argparse
import dataclasses
import pathlib
import re

import pytest

import bergamotmast
from bergamotmast.errors import SettingError
from bergamotmast.settings import EntrySettings
from bergamotmast.settings import KeyValueSettings
from bergamotmast.settings import SideSettings
from bergamotmast.settings import add_settings
from bergamotmast.settings import declarations
from bergamotmast.settings import load_settings

ALL_DECISIONS = (KeyValueSettings, EntrySettings, SideSettings)

REQUIRED = {
    "BERGAMOTMAST_NAME": "engine-1",
    "BERGAMOTMAST_ZONE": "north-a",
    "BERGAMOTMAST_KEY_VALUE_URL": "http://10.0.0.1:2379/",
    "BERGAMOTMAST_INSTANCE_LIST_URL": "http://10.0.0.1:8000",
    "BERGAMOTMAST_LISTEN_ADDRESS": "10.0.0.7:7000",
    "BERGAMOTMAST_UPSTREAM_URL": "http://10.0.0.7:8000",
}


def load(settings, *flags: str, **variables: str):
    parser = argparse.ArgumentParser()
    add_settings(parser, settings)
    environment = REQUIRED | {f"BERGAMOTMAST_{k}": v for k, v in variables.items()}
    return load_settings(settings, parser.parse_args(flags), environment)


@pytest.mark.parametrize("settings", ALL_DECISIONS)
def test_every_default_is_allowed(settings):
    for declaration in declarations(settings):
        if declaration.default is not None:
            parsed = declaration.kind.parse(declaration.default_text)
            assert parsed == declaration.default
            assert type(parsed) is type(declaration.default)


def test_every_setting_is_used():
    package = pathlib.Path(bergamotmast.__file__).parent
    code = "\n".join(path.read_text() for path in package.rglob("*.py"))
    for settings in ALL_DECISIONS:
        for declaration in declarations(settings):
            assert re.search(rf"\bsettings\.{declaration.field}\b", code), declaration


@pytest.mark.parametrize("settings", ALL_DECISIONS)
def test_help_shows_every_setting_below_its_group(settings):
    parser = argparse.ArgumentParser()
    add_settings(parser, settings)
    shown = parser.format_help()
    for declaration in declarations(settings):
        assert declaration.flag in shown
        assert f"{declaration.group}:" in shown


def test_flags_override_variables_and_variables_override_defaults():
    loaded = load(EntrySettings, "--log-level", "debug", LOG_LEVEL="error", ZONE="b")
    assert (loaded.log_level, loaded.zone, loaded.log_format) == ("debug", "b", "text")
    assert loaded.key_value_url == "http://10.0.0.1:2379"
    with pytest.raises(dataclasses.FrozenInstanceError):
        loaded.zone = "c"


@pytest.mark.parametrize(
    ("settings", "flag", "value", "allowed"),
    [
        (EntrySettings, "--name", "", "a name of letters"),
        (EntrySettings, "--zone", "north a", "a name of letters"),
        (EntrySettings, "--key-value-url", "ftp://x", "an http:// or https:// URL"),
        (EntrySettings, "--key-value-url", "http://x:port", "an http:// or https://"),
        (EntrySettings, "--listen-address", "localhost:80", "an IP number and a port"),
        (EntrySettings, "--listen-address", "10.0.0.1", "an IP number and a port"),
        (EntrySettings, "--listen-address", "10.0.0.1:70000", "an IP number and a"),
        (EntrySettings, "--log-level", "loud", "one of debug, info, warning, error"),
        (EntrySettings, "--planner", "maybe", "yes or no"),
        (EntrySettings, "--max-body-bytes", "12", "a whole number from 1024 to"),
        (EntrySettings, "--shutdown-seconds", "nan", "a number of seconds from 0 to"),
        (EntrySettings, "--tls-key-file", "/none", "the path of a file that exists"),
        (SideSettings, "--upstream-kind", "model", "one of engine, service"),
        (SideSettings, "--shutdown-seconds", "-1", "a number of seconds from 0 to"),
    ],
)
def test_an_error_names_the_flag_the_value_and_what_is_allowed(
    settings, flag, value, allowed
):
    with pytest.raises(SettingError) as caught:
        load(settings, f"{flag}={value}")
    assert (caught.value.name, caught.value.value) == (flag, value)
    assert allowed in caught.value.show()


def test_an_error_in_a_variable_names_the_variable():
    with pytest.raises(SettingError, match="BERGAMOTMAST_LOG_FORMAT: 'xml'"):
        load(SideSettings, LOG_FORMAT="xml")


def test_a_required_setting_that_is_missing_is_named():
    with pytest.raises(SettingError, match="--key-value-url"):
        load_settings(KeyValueSettings, argparse.Namespace(), {})


@pytest.mark.parametrize(
    ("given", "missing"),
    [
        ("--tls-key-file", "--tls-certificate-file"),
        ("--tls-certificate-file", "--tls-key-file"),
        ("--curve-secret-file", "--curve-peers-file"),
    ],
)
def test_a_file_setting_requires_its_counterpart(given, missing, tmp_path):
    file = tmp_path / "file"
    file.touch()
    with pytest.raises(SettingError, match=f"{missing}.*because {given} is given"):
        load(EntrySettings, given, str(file))
