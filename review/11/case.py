"""A route is removed and a new one sends the same queue to another service, while a job of it runs."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))

import standin  # noqa: E402

VISIBLE_S = standin.BOUNDS["visible_ms"] / 1000
APPLY_S = standin.BOUNDS["config_apply_ms"] / 1000


async def case(world):
    for _ in range(3):
        await world.add_worker("alpha")
        await world.add_worker("beta")
    other = standin.route("other", "/other/", "beta")
    await world.configure(1, [standin.route("first", "/queue/", "alpha"), other], ["alpha", "beta"])
    for zone in ("z1", "z2", "z3"):
        await world.add_host(zone)
    await world.wait_ready()
    await asyncio.sleep(6)

    name = standin.job_id()
    path, body = f"/queue/{name}", standin.job(45_000)
    status, _ = await world.client(world.hosts[0], "POST", path, body)
    if status != 200:
        raise standin.CannotRun
    acknowledged_at = world.record.now()
    for _ in range(50):
        if world.starts:
            break
        await asyncio.sleep(0.1)
    else:
        raise standin.CannotRun

    if standin.TROUBLE:
        await world.configure(5, [standin.route("second", "/queue/", "beta"), other], ["alpha", "beta"])
    await asyncio.sleep(max(APPLY_S, VISIBLE_S) + 2)

    broken = []
    for host in world.hosts:
        status, answer = await world.client(host, "GET", path)
        if status == 410:
            after = world.record.now() - acknowledged_at
            broken.append(f"LOST: {host.name} answers 410 for accepted job {name}, {after:.1f} s after the "
                          "acknowledgement; nobody has cancelled it")
    # "Occasionally, such a request also arrives seconds after the 2xx response for that ID. It remains one job."
    await world.client(world.hosts[1], "POST", path, body)
    await asyncio.sleep(4)
    task = f"{name}.0.0.0"
    running = [worker for worker in world.workers if task in worker.running]
    if len(running) > 1:
        places = ", ".join(f"{worker.id} ({worker.service})" for worker in running)
        broken.append(f"TWICE: two runs of task {task} at the same time, on {places}")
    await world.client(world.hosts[2], "GET", path)
    return broken


sys.exit(standin.main(FOLDER, case))
