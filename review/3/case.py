"""Uploads that wait at a gate reach a draining backend long after `drain_ms`, and are lost there."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))
from harness import BOUNDS, TROUBLE, ZONES, new_id, play, request

# The figures of raquetas-huaraz-grown: damage-upload, bitacora, and the bounds.
WORK_MS, DEADLINE_MS, AIM_MS, SLOTS, UPLOAD_BYTES = 480.0, 8000, 2000, 18, 60_000
DRAIN_S = 2.5
# `srv_slow` with `all`: 5 times as long for 9 s; the site file has x = 12 for 9 s.
SLOW_X, SLOW_S = 5.0, 9.0
# Four backends, of which one leaves: a share of 0.25. The uploads are under half of what their gates
# let run at the usual speed.
BACKENDS, UPLOADS_PER_S = 4, 50.0


async def main(world):
    record = world.record
    world.bounds = [b for b in BOUNDS if not b.startswith(("drain_ms", "config_apply_ms", "ack_ms",
                                                           "catch_up_s"))]
    world.bounds += ["drain_ms=2500", "config_apply_ms=2500", "ack_ms=5000", "catch_up_s=6"]
    for i in range(BACKENDS + 2):
        world.add_node(ZONES[i % 4], "bita11a" if i < BACKENDS else "rack11a")
    await world.open([{
        "name": "r-upload", "host": "jepu9.example", "prefix": "/fiti832/", "kind": "upload",
        "timeout_ms": DEADLINE_MS, "target_latency_ms": AIM_MS, "priority": 1,
        "service": "bita11a", "max_attempts": 2}], ["rack11a", "bita11a"],
        backend={"work_ms": WORK_MS, "slots": SLOTS})
    leaving = world.backends[0]
    stop, answers = asyncio.Event(), {}

    async def upload(node):
        rid = new_id()
        record.note(f"a client at {node.name} sends {rid} POST /fiti832/2f")
        try:
            status, _, _ = await asyncio.wait_for(request(
                node.outbound, "POST", "/fiti832/2f", {
                    "Host": "jepu9.example", "Oriolering-Request-Id": rid,
                    "Oriolering-Request-Deadline": DEADLINE_MS}, os.urandom(UPLOAD_BYTES)), 10)
        except (OSError, ConnectionError, asyncio.IncompleteReadError, asyncio.TimeoutError) as e:
            status = repr(e)
        answers[rid] = status
        record.note(f"the client gets {status} for {rid}")

    async def clients():
        tasks = []
        while not stop.is_set():
            tasks.append(asyncio.ensure_future(upload(random.choice(world.nodes))))
            await asyncio.sleep(random.expovariate(UPLOADS_PER_S))
        await asyncio.gather(*tasks)

    running = asyncio.ensure_future(clients())
    await asyncio.sleep(5.0)
    if TROUBLE:
        record.note(f"the backends of bita11a turn slow, {SLOW_X} times")
        for backend in world.backends[:BACKENDS]:
            backend.slow = SLOW_X
    await asyncio.sleep(5.0)
    acknowledged = await leaving.leave(DRAIN_S + 1.5)
    await asyncio.sleep(SLOW_S - 5.0)
    for backend in world.backends:
        backend.slow = 1.0
    record.note("all backends work as usual from now on")
    await asyncio.sleep(3.0)
    stop.set()
    await running
    late = [(rid, at - acknowledged) for rid, at in leaving.runs if at > acknowledged + DRAIN_S]
    for rid, after in late:
        record.note(f"{rid} reached the backend {after:.2f} s after the acknowledgement, drain_ms "
                    f"is {DRAIN_S * 1000:.0f}; its client got {answers.get(rid)}")
    lost = [rid for rid, _ in leaving.runs if answers.get(rid) != 200]
    last = max((after for _, after in late), default=0.0)
    statuses = sorted({str(answers.get(rid)) for rid in lost})
    record.note(f"requests that reached the draining backend too late: {len(late)}, the last "
                f"{last:.2f} s after the acknowledgement; requests that it ran and whose clients got "
                f"no success: {len(lost)} of {len(leaving.runs)}, answered {', '.join(statuses) or '-'}")
    return bool(late)


play(main, FOLDER)
