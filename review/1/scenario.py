"""Case 1: one repeating job makes every host that leads its service exceed its memory."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
from standin import TROUBLE, Deployment, job_id, main, now_ms

FOLDER = os.path.dirname(os.path.abspath(__file__))
REPEATING = job_id(0x5C0E7A21D94B36F8)
# Once a minute for ten years; without the trouble, for an hour.
PERIOD_MS = 60_000
REPEATS = 5_256_000 if TROUBLE else 60
TRAFFIC_S = 30.0
SUBMIT_INTERVAL_S = 0.5
FINISH_S = 14.0
QUICK_STEP = {"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": 300}


def work(_task, _spec):
    return 0.3, "done"


async def case():
    deployment = Deployment(FOLDER, hosts=4, workers=8, work=work)
    record = deployment.record
    try:
        await deployment.start({"/quick/": {"priority": 0, "target_latency_ms": 250},
                                "/nightly/": {"priority": 1}})
        jobs, submissions = [], []
        began = now_ms()
        repeating = None
        while now_ms() - began < TRAFFIC_S * 1000:
            jobs.append(job_id(0x1000000000000000 + len(jobs)))
            submission = deployment.submit("/quick/", jobs[-1], [QUICK_STEP])
            submissions.append(asyncio.ensure_future(submission))
            if len(jobs) == 10:
                first_ms = round(time.time() * 1000) + 5_000
                # The platform's choice for this client, as for three clients in four.
                deployment.next_host = deployment.follower()
                repeating = asyncio.ensure_future(deployment.submit(
                    "/nightly/", REPEATING, [QUICK_STEP], repeat_count=REPEATS,
                    first_ms=first_ms, period_ms=PERIOD_MS))
                record.say(f"the repeating job is handed in, {REPEATS} times")
            if len(jobs) % 20 == 0:
                peaks = ", ".join(f"{host.peak_mb:.0f}" for host in deployment.hosts)
                record.say(f"{len(jobs)} quick jobs sent; peak memory of the hosts in MB: {peaks}")
            await asyncio.sleep(SUBMIT_INTERVAL_S)
        await asyncio.wait(submissions + [repeating], timeout=6.0)
        answers = deployment.jobs[REPEATING]["answers"]
        record.say(f"the traffic has ended; answers for the repeating job: {answers}")
        await asyncio.sleep(FINISH_S)
        lost = await deployment.unfinished_jobs(jobs, QUICK_STEP["cpu"])
        count = sum(1 for job in jobs if deployment.jobs[job]["accepted"])
        ends = {host.name: len(host.ends) for host in deployment.hosts}
        at_fault = [name for name, number in ends.items() if number >= 3]
        record.say(f"ends of the hosts' processes: {ends}")
        record.say(f"LOST: {len(lost)} of {count} accepted quick jobs")
        # A tenth of the machines in use, two at least, three times in the day.
        fault = len(at_fault) >= 2
        record.say(f"Fault: {fault}")
        return not fault and not lost
    finally:
        await deployment.stop()


main(case)
