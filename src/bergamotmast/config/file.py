"""Parser of configuration files in YAML or JSON; its errors name file and line."""

from __future__ import annotations

import collections.abc as cabc
import dataclasses
import enum
import json
import pathlib
import re
import typing as t

import msgspec
import yaml

from ..decoding import DecodingError
from ..decoding import decode_json
from ..errors import ConfigError
from ..errors import ContradictionError
from ..model import Priority
from .checks import Path
from .checks import Problem
from .checks import did_you_mean
from .checks import find_problems
from .checks import show_problems
from .contradictions import find_contradictions
from .document import Configuration
from .document import Selector

MAX_DOCUMENT_BYTES = 1_000_000
"""Maximum size of a document: the key-value service limits a value to this."""


_Lines = dict[Path, int]
"""Line number, counted from 1, at which each value begins, by path."""


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedFile:
    """The content of a document before it is converted and checked.

    :param name: name of the document in messages.
    :param find_lines: returns the line of each value, as far as known. In JSON this
        takes longer than all other steps, so it is called for messages only.
    """

    name: str
    content: t.Any
    find_lines: cabc.Callable[[], _Lines]

    def locate(self, problems: cabc.Iterable[Problem]) -> list[str]:
        """Return each problem as one line with document, line number and field."""
        lines = self.find_lines()
        return [self._locate(problem, lines) for problem in problems]

    def _locate(self, problem: Problem, lines: _Lines) -> str:
        if not lines:
            return f"{self.name}: {problem.show()}"
        path = problem.path
        while path and path not in lines:
            path = path[:-1]
        return f"{self.name}:{lines.get(path, 1)}: {problem.show()}"


def load_configuration(path: pathlib.Path) -> Configuration:
    """Read and check a file.

    :raises ConfigError: if it can't be read or is not valid.
    :raises ContradictionError: if two of its selectors contradict each other.
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror or error}") from error
    return parse_configuration(data, str(path))


def parse_configuration(data: bytes, name: str) -> Configuration:
    """Parse and check a document.

    :param name: name of the document in messages; that of JSON ends in ``.json``.
    :raises ConfigError: naming the line and field of each problem.
    :raises ContradictionError: if two selectors contradict each other.
    """
    return _check(_parse(data, name))


def parse_body(data: bytes) -> Configuration:
    """Parse and check a JSON document from an HTTP body, without line numbers.

    :raises ConfigError: naming the field of each problem.
    :raises ContradictionError: if two selectors contradict each other.
    """
    content = _decode_json(data, "body")
    return _check(ParsedFile("body", content, _Lines))


def parse_selector(plain: dict[str, t.Any], name: str) -> Selector:
    """Convert the plain content of one selector.

    :param name: name of the document in messages.
    :raises ConfigError: naming each field with a problem.
    """
    problems = list(_type_problems(plain, Selector, ("selector",)))
    if problems:
        raise ConfigError(show_problems(f"{name}: {p.show()}" for p in problems))
    return msgspec.convert(plain, Selector)


def dump_yaml(configuration: Configuration) -> str:
    """Return a document as YAML, without fields that have their default value."""
    plain = msgspec.to_builtins(configuration)
    for request_class in plain.get("classes", {}).values():
        if "priority" in request_class:
            priority = Priority(request_class["priority"])
            request_class["priority"] = priority.name.lower()
    return yaml.safe_dump(plain, sort_keys=False, allow_unicode=True)


def _parse(data: bytes, name: str) -> ParsedFile:
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ConfigError(
            f"{name}: the document is longer than {MAX_DOCUMENT_BYTES} bytes"
        )
    try:
        if name.endswith(".json"):
            return _parse_json(data, name)
        return _YamlReader(name, data.decode()).read()
    except UnicodeDecodeError as error:
        raise ConfigError(f"{name}: this is not UTF-8 text: {error}") from error
    except yaml.MarkedYAMLError as error:
        mark = error.problem_mark or error.context_mark
        line = mark.line + 1 if mark else 1
        raise ConfigError(f"{name}:{line}: {error.problem or error.context}") from error
    except yaml.YAMLError as error:
        raise ConfigError(f"{name}: {error}") from error
    except RecursionError as error:
        raise ConfigError(f"{name}: the document is nested too deeply") from error


def _parse_json(data: bytes, name: str) -> ParsedFile:
    content = _decode_json(data, name)
    return ParsedFile(name, content, lambda: _find_json_lines(data, name))


def _decode_json(data: bytes, name: str) -> t.Any:
    try:
        content = decode_json(data, object)
        json.loads(data, object_pairs_hook=_reject_duplicates)
    except DecodingError as error:
        raise ConfigError(f"{name}:{_json_line(data, error)}: {error}") from error
    except ValueError as error:
        raise ConfigError(f"{name}: {error}") from error
    except RecursionError as error:
        raise ConfigError(f"{name}: the document is nested too deeply") from error
    return content


def _reject_duplicates(pairs: list[tuple[str, t.Any]]) -> None:
    keys = [key for key, _ in pairs]
    if len(set(keys)) < len(keys):
        duplicate = next(key for key in keys if keys.count(key) > 1)
        raise ValueError(f"{duplicate!r} is there twice")


def _find_json_lines(data: bytes, name: str) -> _Lines:
    # YAML accepts nearly all JSON except tabs, which no JSON string contains. Where the
    # two differ otherwise, only line numbers are lost.
    try:
        reader = _YamlReader(name, data.decode().replace("\t", " "))
        reader.read()
    except (yaml.YAMLError, ConfigError, RecursionError):
        return {}
    return reader.lines


def _json_line(data: bytes, error: DecodingError) -> int:
    match = re.search(r"byte (\d+)", str(error))
    return data.count(b"\n", 0, int(match[1])) + 1 if match else 1


def _check(parsed: ParsedFile) -> Configuration:
    configuration = _convert(parsed)
    problems = find_problems(configuration)
    if problems:
        raise ConfigError(show_problems(parsed.locate(problems)))
    for contradiction in find_contradictions(configuration):
        place = parsed.locate(
            [Problem(("selectors", contradiction.second), contradiction.show())]
        )
        raise ContradictionError(
            place[0], contradiction.selectors, contradiction.upstream
        )
    return configuration


def _convert(parsed: ParsedFile) -> Configuration:
    try:
        return msgspec.convert(parsed.content, Configuration)
    except msgspec.ValidationError:
        problems = list(_type_problems(parsed.content, Configuration, ()))
    if problems:
        raise ConfigError(show_problems(parsed.locate(problems)))
    # _type_problems has replaced priority names by numbers; nothing else was wrong.
    return msgspec.convert(parsed.content, Configuration)


class _YamlReader:
    """Builds a document's content from its YAML nodes and records their lines."""

    def __init__(self, name: str, text: str) -> None:
        self.name = name
        self.loader = yaml.SafeLoader(text)
        self.lines: dict[Path, int] = {}
        self.seen: set[int] = set()

    def read(self) -> ParsedFile:
        node = self.loader.get_single_node()
        content = {} if node is None else self.build(node, ())
        return ParsedFile(self.name, content, lambda: self.lines)

    def build(self, node: yaml.Node, path: Path) -> t.Any:
        self.lines.setdefault(path, node.start_mark.line + 1)
        self.reject_alias(node)
        if isinstance(node, yaml.MappingNode):
            return self.build_mapping(node, path)
        if isinstance(node, yaml.SequenceNode):
            items = enumerate(node.value)
            return [self.build(item, (*path, index)) for index, item in items]
        return self.build_scalar(node)

    def build_mapping(self, node: yaml.MappingNode, path: Path) -> dict[str, t.Any]:
        content: dict[str, t.Any] = {}
        for key_node, value_node in node.value:
            key = key_node.value
            if not isinstance(key, str):
                raise self.error(key_node, "a key must be a word")
            if key in content:
                raise self.error(key_node, f"{key!r} is there already")
            item_path = (*path, key)
            self.lines[item_path] = key_node.start_mark.line + 1
            content[key] = self.build(value_node, item_path)
        return content

    def build_scalar(self, node: yaml.Node) -> t.Any:
        try:
            value = self.loader.construct_object(node)
            str(value).encode()  # rejects a lone surrogate, which is not encodable
            return value
        except (ValueError, KeyError, IndexError, OverflowError) as error:
            raise self.error(node, f"{node.value!r} has no value") from error

    def reject_alias(self, node: yaml.Node) -> None:
        # A few lines of nested aliases can expand to more content than memory holds.
        if id(node) in self.seen:
            raise self.error(node, "aliases are not allowed")
        self.seen.add(id(node))

    def error(self, node: yaml.Node, message: str) -> ConfigError:
        return ConfigError(f"{self.name}:{node.start_mark.line + 1}: {message}")


def _type_problems(value: t.Any, kind: t.Any, path: Path) -> cabc.Iterator[Problem]:
    """Return every value of the wrong type; replace priority names by numbers."""
    origin = t.get_origin(kind)
    if isinstance(kind, type) and issubclass(kind, msgspec.Struct):
        yield from _struct_problems(value, kind, path)
    elif origin is dict and isinstance(value, dict):
        key_kind, value_kind = t.get_args(kind)
        for key, item in value.items():
            yield from _type_problems(key, key_kind, (*path, key))
            yield from _type_problems(item, value_kind, (*path, key))
    elif origin is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _type_problems(item, t.get_args(kind)[0], (*path, index))
    else:
        yield from _value_problems(value, kind, path)


def _struct_problems(
    value: t.Any, kind: type[msgspec.Struct], path: Path
) -> cabc.Iterator[Problem]:
    if not isinstance(value, dict):
        actual = "nothing" if value is None else f"{value!r:.40}"
        yield Problem(path, f"fields are expected here, not {actual}")
        return
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for name, field in fields.items():
        if name in value:
            if field.type is Priority:
                value[name] = _priority(value[name])
            yield from _type_problems(value[name], field.type, (*path, name))
        elif field.required:
            yield Problem(path, f"the field {name!r} is missing")
    for name in value:
        if name not in fields:
            message = f"there is no field {name!r} here{did_you_mean(name, fields)}"
            yield Problem((*path, name), message)


def _value_problems(value: t.Any, kind: t.Any, path: Path) -> cabc.Iterator[Problem]:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        yield from _enum_problems(value, kind, path)
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        hint = "" if isinstance(value, str) or kind is not str else "; put it in quotes"
        yield Problem(path, f"{error}{hint}")


def _enum_problems(
    value: t.Any, kind: type[enum.Enum], path: Path
) -> cabc.Iterator[Problem]:
    try:
        msgspec.convert(value, kind)
        return
    except msgspec.ValidationError:
        pass
    named = issubclass(kind, enum.IntEnum)
    known = [m.name.lower() if named else str(m.value) for m in kind]
    hint = did_you_mean(str(value), known)
    yield Problem(path, f"{value!r} is not one of {', '.join(known)}{hint}")


def _priority(value: t.Any) -> t.Any:
    names = {priority.name.lower(): int(priority) for priority in Priority}
    return names.get(value, value) if isinstance(value, str) else value
