"""Runs a stand-in as a process of its own, with its HTTP frontend."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import os
import pathlib
import typing as t

import msgspec
from aiohttp import web

from ..adapters.http_calls import client_session
from ..adapters.weights_http import HttpWeightStore
from ..history import AnyRecord
from ..history import HistorySink
from ..history import NullHistory
from ..model import Assignment
from ..model import InstanceInfo
from .engine import DEFAULT_ASSIGNMENT
from .engine import EngineStandIn
from .engine_frontend import EngineFrontend
from .engine_orders import load_instantly
from .engine_spec import EngineSpec
from .http_common import serving
from .instance_list import InstanceListStandIn
from .key_value import KeyValueStandIn
from .key_value_frontend import KeyValueFrontend
from .kv_exchange import KvExchange
from .service import ServiceStandIn
from .small_frontends import instance_list_application
from .small_frontends import service_application
from .small_frontends import weight_store_application
from .weights import WeightStoreStandIn


class StandInKind(enum.Enum):
    """Kinds of stand-ins."""

    KEY_VALUE = "key-value"
    ENGINE = "engine"
    SERVICE = "service"
    INSTANCE_LIST = "instance-list"
    WEIGHT_STORE = "weight-store"


class StandInOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a stand-in; each kind uses only those that concern it.

    :param name: name of an engine or service in the history.
    :param assignment: role and loaded versions of an engine at its start.
    :param spec: rates, capacities and delays of an engine.
    :param weight_store_url: weight store that an engine loads from; if empty, loads
        take no time.
    :param seconds: duration of a service's calls.
    :param instances: initial instances of the instance list.
    :param lag: seconds until a change of the instance list becomes visible.
    :param versions: size of each version in the weight store, in gigabytes.
    :param gigabytes_per_second: bandwidth of the weight store.
    """

    name: str = "stand-in"
    assignment: Assignment = DEFAULT_ASSIGNMENT
    spec: EngineSpec = EngineSpec()
    weight_store_url: str = ""
    seconds: float = 0.0
    instances: tuple[InstanceInfo, ...] = ()
    lag: float = 0.0
    versions: dict[str, float] = {}
    gigabytes_per_second: float = 10.0


class FileHistory:
    """Appends history records to a file, unbuffered, so that a kill loses none.

    :param path: file of JSON lines, created if it does not exist.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self.file = path.open("ab", buffering=0)

    def record(self, record: AnyRecord) -> None:
        """Append one record."""
        self.file.write(msgspec.json.encode(record) + b"\n")

    def close(self) -> None:
        """Close the file."""
        self.file.close()


async def run_standin(
    kind: StandInKind,
    host: str,
    port: int,
    options: StandInOptions | None = None,
    history_path: pathlib.Path | None = None,
    on_ready: t.Callable[[str], None] = lambda url: None,
) -> None:
    """Serve a stand-in until cancelled.

    :param history_path: file to append history records to; ``None`` for no history.
    :param on_ready: called with the URL once the stand-in listens.
    """
    async with contextlib.AsyncExitStack() as stack:
        history: HistorySink = NullHistory()
        if history_path is not None:
            history = stack.enter_context(contextlib.closing(FileHistory(history_path)))
        app = await _application(kind, options or StandInOptions(), history, stack)
        on_ready(await stack.enter_async_context(serving(app, host, port)))
        await asyncio.get_running_loop().create_future()


async def _application(
    kind: StandInKind,
    options: StandInOptions,
    history: HistorySink,
    stack: contextlib.AsyncExitStack,
) -> web.Application:
    match kind:
        case StandInKind.KEY_VALUE:
            return KeyValueFrontend(KeyValueStandIn()).application()
        case StandInKind.ENGINE:
            return await _engine(options, history, stack)
        case StandInKind.SERVICE:
            service = ServiceStandIn(options.name, options.seconds, history)
            return service_application(service)
        case StandInKind.INSTANCE_LIST:
            instances = InstanceListStandIn(options.instances, options.lag, history)
            return instance_list_application(instances)
        case StandInKind.WEIGHT_STORE:
            store = WeightStoreStandIn(options.versions, options.gigabytes_per_second)
            return weight_store_application(store)


async def _engine(
    options: StandInOptions, history: HistorySink, stack: contextlib.AsyncExitStack
) -> web.Application:
    loader = load_instantly
    if options.weight_store_url:
        session = await stack.enter_async_context(client_session())
        loader = HttpWeightStore(session, options.weight_store_url).load
    engine = EngineStandIn(
        options.name,
        options.spec,
        assignment=options.assignment,
        loader=loader,
        exchange=KvExchange(accepts_unknown_handles=True),
        history=history,
        boot_prefix=f"{os.urandom(4).hex()}-",
    )
    return EngineFrontend(engine).application()
