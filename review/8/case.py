"""Entries of another writer put all servers of a service out of use.

Two routers before two servers. Another writer has entries of its own for the same addresses, under a service that the
configuration doesn't name, and takes them away after 10 s. Orders and reads are sent from the start of traffic on.
"""
import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins-2"))

from caller import Caller
from deployment import TROUBLE, CannotRun, Router, free_port, run_case
from servers import Application
from store import Store

# Bounds and limits of a machine of sites/brimhall.
BOUNDS = {"LeaseMs": 3000, "FencingRequired": True, "GraceS": 8, "VersionMs": 6000, "BudgetRatio": 0.2,
          "BudgetSlack": 58}
LIMITS = {"LinkMbps": 1000, "MemoryMb": 110, "MaxFds": 4100}

TRAFFIC_S = 30
# Time of traffic after which the entries of the other writer go.
ENTRIES_S = 10


async def case(record, scratch, started):
    store_address = ("127.0.0.10", free_port("127.0.0.10"))
    store = Store(record)
    await store.start(store_address)
    servers = []
    for i in (1, 2):
        host = f"127.0.0.{20 + i}"
        server = Application(record, store, f"i-app-{i}", "app", (host, free_port(host)))
        server.work_s = 0.02
        await server.start()
        servers.append(server)
    await store.put("op/config", configuration())
    routers = []
    for i in (1, 2):
        seeds = ["%s:%d" % router.control for router in routers]
        router = Router(record, scratch, f"front-{i}", f"127.0.0.{10 + i}", "z-a", store_address, seeds, BOUNDS,
                        LIMITS)
        started.append(router)
        router.start()
        routers.append(router)
    for router in routers:
        await router.until_ready()
    await asyncio.sleep(5)
    others = [f"servers/mirror-{server.id}" for server in servers]
    if TROUBLE:
        for key, server in zip(others, servers):
            await store.put(key, other_entry(server))
            record.note("other writer", f"writes {key} for {server.address[0]}")
        await asyncio.sleep(3)

    callers = [Caller(record, f"caller-{i}", router.front) for i, router in enumerate(routers * 2)]
    until = time.monotonic() + TRAFFIC_S
    sending = [asyncio.create_task(send(caller, until)) for caller in callers]
    await asyncio.sleep(ENTRIES_S)
    if TROUBLE:
        for key in others:
            await store.remove(key)
            record.note("other writer", f"removes {key}")
    results = [result for results in await asyncio.gather(*sending) for result in results]
    if not all(router.runs() for router in routers):
        raise CannotRun("a router has ended")
    return is_kept(record, servers, results)


def configuration():
    def route(name, kind, prefix):
        return {"Name": name, "Host": "app.example", "PathPrefix": prefix, "Kind": kind, "TimeoutMs": 1200,
                "TargetLatencyMs": 120, "Priority": 2, "Service": "app", "MaxAttempts": 2, "AllowAnonymous": False,
                "Sticky": False, "CanResume": False}

    service = {"Name": "app", "HealthPath": "/healthz", "MaxConnections": 110, "Protocol": "h1", "Tls": False}
    limits = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
    tenant = {"Name": "t1", "ApiKeys": ["k1"], "Priority": 1, "Isolated": False}
    return {"Version": 1, "Routes": [route("orders", "unsafe", "/orders/"), route("stock", "safe", "/stock/")],
            "Services": [service], "Limits": limits, "Tenants": [tenant]}


def other_entry(server):
    """An entry of another writer, whose service isn't named anywhere."""
    return {"Service": "mirror", "Address": "%s:%d" % server.address, "Zone": server.zone, "Version": "v1", "Slots": 24,
            "State": "ready", "ColdRemainingMs": 0, "Sequence": 1, "born": int(time.time() * 1000)}


async def send(caller, until):
    results = []
    while time.monotonic() < until:
        try:
            results.append(await caller.request("POST", "/orders/1", b"order", deadline_ms=1200))
            results.append(await caller.request("GET", "/stock/1", deadline_ms=1200))
        except OSError:
            pass
        await asyncio.sleep(0.1)
    return results


def is_kept(record, servers, results):
    """Fault: no request is served."""
    served = sum(result["status"] == 200 and result["body"] is not None for result in results)
    ran = sum(len(server.runs) for server in servers)
    statuses = sorted({str(result["status"]) for result in results})
    record.note("case", f"requests {len(results)}, served {served}, run by servers {ran}, statuses {statuses}")
    return served > 0


if __name__ == "__main__":
    sys.exit(run_case(FOLDER, case))
