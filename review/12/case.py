"""All workers of one rack lose power, and a job comes whose data is in that rack."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))

import standin  # noqa: E402

RACKS = 7
WORKERS_A_RACK = 5


async def case(world):
    for rack in range(RACKS):
        for _ in range(WORKERS_A_RACK):
            await world.add_worker("alpha", labels=["a", f"r1-{rack}"])
    await world.configure(1, [standin.route("first", "/queue/", "alpha")], ["alpha"])
    for zone in ("z1", "z2", "z3"):
        await world.add_host(zone)
    await world.wait_ready()
    await asyncio.sleep(8)

    if standin.TROUBLE:
        for worker in world.workers[:WORKERS_A_RACK]:
            await worker.lose_power()
    # A caller's job, by chance right after it.
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": 2000, "affinity": "r1-0"}
    name = standin.job_id()
    path = f"/queue/{name}"
    status, _ = await world.client(world.hosts[0], "POST", path, standin.job(2_000, [step]))
    if status != 200:
        raise standin.CannotRun
    for _ in range(30):
        await asyncio.sleep(1)
        status, answer = await world.client(world.hosts[1], "GET", path)
        if status == 200 and answer["state"] in ("completed", "failed"):
            break
    failed_ends = [end for end in world.ends if end[4] == "failed"]
    if answer["state"] == "failed" and not failed_ends:
        return [f"LOST: accepted job {name} is shown as failed without cause: {len(world.starts)} runs of its task "
                "have begun, none has ended as failed, and no worker has crashed while it ran"]
    if answer["state"] != "completed":
        return [f"LOST: accepted job {name} is {answer['state']} after 30 s"]
    return []


sys.exit(standin.main(FOLDER, case))
