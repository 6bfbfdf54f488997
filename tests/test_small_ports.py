"""The ports of services, instance list and weight store, in process and over HTTP."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from bergamotmast.adapters.http_calls import client_session
from bergamotmast.adapters.instance_list_http import HttpInstanceList
from bergamotmast.adapters.service_http import HttpService
from bergamotmast.adapters.weights_http import HttpWeightStore
from bergamotmast.errors import NotReachedError
from bergamotmast.errors import PortError
from bergamotmast.errors import ReplyLostError
from bergamotmast.history import MemoryHistory
from bergamotmast.model import InstanceInfo
from bergamotmast.model import Priority
from bergamotmast.model import ServiceCall
from bergamotmast.model import UpstreamKind
from bergamotmast.standins.http_common import serving
from bergamotmast.standins.instance_list import InstanceListStandIn
from bergamotmast.standins.service import ServiceStandIn
from bergamotmast.standins.service import expected_body
from bergamotmast.standins.small_frontends import instance_list_application
from bergamotmast.standins.small_frontends import service_application
from bergamotmast.standins.small_frontends import weight_store_application
from bergamotmast.standins.weights import WeightStoreStandIn

INFO = InstanceInfo(
    "engine-1", UpstreamKind.ENGINE, "zone-a", "10.0.0.1:7000", "http://10.0.0.1:8000"
)


@pytest.fixture(params=["in process", "over HTTP"])
async def reach(request):
    """Return a function that returns the port of a stand-in."""
    if request.param == "in process":
        yield lambda standin, application, adapter: _direct(standin)
        return
    async with client_session() as session, contextlib.AsyncExitStack() as stack:

        async def over_http(standin, application, adapter):
            url = await stack.enter_async_context(serving(application(standin)))
            return adapter(session, url)

        yield over_http


async def _direct(standin):
    return standin


def call(method="POST", key="", budget=30.0, body=b"{}"):
    deadline = asyncio.get_running_loop().time() + budget
    return ServiceCall(
        "r-1",
        "t",
        "c",
        Priority.STANDARD,
        "orders",
        method,
        "/orders?box=7",
        body,
        "application/json",
        False,
        key,
        deadline,
    )


async def test_a_service_answers_and_counts(reach):
    history = MemoryHistory()
    standin = ServiceStandIn("s", history=history)
    standin.status = 418
    service = await reach(standin, service_application, HttpService)
    answer = await service.call(call(key="k-1"))
    body = expected_body("POST", "/orders?box=7", b"{}")
    assert (answer.status, answer.body) == (418, body)
    assert answer.content_type == "application/json"
    assert standin.executions == {"k-1": 1}
    record = history.records[0]
    assert (record.upstream, record.request, record.key) == ("s", "r-1", "k-1")


@pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
async def test_call_with_a_lost_reply_is_not_retried(reach, method):
    # The service runs the call, and its connection breaks before the reply. The outcome
    # must be reported as unknown; HTTP libraries tend to retry GET, PUT and DELETE by
    # themselves, which would run the call twice.
    standin = ServiceStandIn("s")
    standin.lost_replies = 1
    service = await reach(standin, service_application, HttpService)
    with pytest.raises(ReplyLostError):
        await service.call(call(method, body=b""))
    assert standin.executions == {"r-1": 1}


async def test_crash_of_a_service_loses_its_pending_replies(reach):
    standin = ServiceStandIn("s", seconds=60)
    service = await reach(standin, service_application, HttpService)
    task = asyncio.create_task(service.call(call()))
    while not standin.running:
        await asyncio.sleep(0.01)
    standin.crash()
    with pytest.raises(ReplyLostError):
        await task
    standin.restart()
    standin.seconds = 0.0
    assert (await service.call(call())).status == 200
    assert standin.executions == {"r-1": 2}


async def test_deadline_and_unreachable_service_over_http():
    standin = ServiceStandIn("s", seconds=60)
    async with client_session() as session:
        async with serving(service_application(standin)) as url:
            service = HttpService(session, url)
            with pytest.raises(NotReachedError):
                await service.call(call(budget=-1))
            assert not standin.executions
            with pytest.raises(ReplyLostError):
                await service.call(call(budget=1.5))
            assert standin.executions == {"r-1": 1}
        with pytest.raises(NotReachedError):
            await service.call(call())


async def test_the_instance_list(reach):
    standin = InstanceListStandIn([INFO])
    port = await reach(standin, instance_list_application, HttpInstanceList)
    assert await port.instances() == (INFO,)
    standin.down = True
    with pytest.raises(PortError):
        await port.instances()


@pytest.mark.looptime
async def test_the_instance_list_lags():
    standin = InstanceListStandIn([INFO], lag=5)
    await asyncio.sleep(1)
    standin.set_leaving("engine-1")
    await asyncio.sleep(4.9)
    assert not (await standin.instances())[0].leaving
    await asyncio.sleep(0.2)
    assert (await standin.instances())[0].leaving
    standin.remove("engine-1")
    await asyncio.sleep(5)
    assert await standin.instances() == ()


async def test_the_weight_store(reach):
    standin = WeightStoreStandIn({"m@1": 0.5}, gigabytes_per_second=100.0)
    port = await reach(standin, weight_store_application, HttpWeightStore)
    assert await port.sizes() == {"m@1": 0.5}
    assert await port.rate() == 100.0
    await port.load("m@1")
    with pytest.raises(PortError):
        await port.load("missing@1")
    standin.down = True
    with pytest.raises(PortError):
        await port.sizes()


@pytest.mark.looptime
async def test_loads_share_the_stores_rate():
    store = WeightStoreStandIn({"a@1": 10.0, "b@1": 30.0}, gigabytes_per_second=2.0)
    loop = asyncio.get_running_loop()
    ends = []

    async def load(version):
        await store.load(version)
        ends.append((version, loop.time()))

    await asyncio.gather(load("a@1"), load("b@1"))
    assert ends == [("a@1", 5.0), ("b@1", 20.0)]
