"""A tenant that has work in two services hands in two large jobs at once, one for each. Each fits the tenant's cap,
and both together do not."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-3"))

import standin  # noqa: E402

SERVICES = ["alpha", "beta"]
CAP_CPU = 10_000
NEED_CPU = 6_000
WORK_S = 2
USUAL_S = 4
# `finish_s` after the end of the traffic, and 3 s more.
BOUND_S = standin.BOUNDS["finish_s"] + 3


async def case(world):
    for _ in range(4):
        for service in SERVICES:
            await world.add_worker(service)
    tenants = [{"name": "large", "api_keys": ["key-1"], "weight": 5, "cap": {"cpu": CAP_CPU, "mem_mb": 0, "gpu": 0}},
               {"name": "small", "api_keys": ["key-2"], "weight": 5, "cap": {"cpu": 0, "mem_mb": 0, "gpu": 0}}]
    routes = [standin.route("first", "/first/", "alpha"), standin.route("second", "/second/", "beta")]
    await world.configure(1, routes, SERVICES, tenants=tenants)
    for zone in ("z1", "z2", "z3"):
        await world.add_host(zone)
    await world.wait_ready()
    await asyncio.sleep(8)

    def paths():
        return [f"/first/{standin.job_id()}", f"/second/{standin.job_id()}"]

    def body(tasks, cpu, seconds):
        step = {"count": tasks, "cpu": cpu, "mem_mb": 256, "estimate_ms": seconds * 1000}
        return standin.job(seconds * 1000, [step])

    async def submit(path, body):
        status, _ = await world.client(world.hosts[0], "POST", path, body, key="key-1")
        if status != 200:
            raise standin.CannotRun

    async def state(path):
        _, answer = await world.client(world.hosts[1], "GET", path, key="key-1")
        return answer["state"] if answer else None

    async def wait_until_done(paths, seconds):
        for _ in range(int(seconds)):
            await asyncio.sleep(1)
            if all([await state(path) == "completed" for path in paths]):
                return True
        return False

    # Work of the tenant in both services, within its cap.
    usual = paths()
    for path in usual:
        await submit(path, body(5, CAP_CPU // 10, USUAL_S))
    await asyncio.sleep(1)
    large = paths()
    if standin.TROUBLE:
        await asyncio.gather(*(submit(path, body(1, NEED_CPU, WORK_S)) for path in large))
    if not await wait_until_done(usual, USUAL_S + BOUND_S):
        raise standin.CannotRun
    world.record("the usual jobs are done")
    if standin.TROUBLE:
        done = await wait_until_done(large, 2 * WORK_S + BOUND_S + 20)
    else:
        # One after the other.
        done = True
        for path in large:
            await submit(path, body(1, NEED_CPU, WORK_S))
            done = done and await wait_until_done([path], WORK_S + BOUND_S)
    if done:
        return []
    states = [await state(path) for path in large]
    running = sum(len(worker.running) for worker in world.workers)
    return [f"LOST: two accepted jobs are {states[0]} and {states[1]}, {2 * WORK_S + BOUND_S + 20} s after the tenant's "
            f"other jobs have ended; {running} tasks run, all workers are free, the tenant uses nothing of its cap"]


standin.main(FOLDER, case)
