"""A backend server runs a request that may not be repeated, and fails it with 503 of its own: what
is its client told?"""

import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from stand_ins import *  # noqa: E402,F403

# The statuses that promise that a request has not run and never will.
PROMISES = (429, 503, 408, 421)
# One of the four backend servers fails this share of its requests, the site file's `x` of `srv_grey`.
SHARE = 0.45
# The rate of deposit-charge, its work, and the time for which the backend server is grey.
PER_S = 98.8
WORK_S = 0.087
FOR_S = 8.5


async def work(backend, request, path, body):
    """Runs the request."""
    await asyncio.sleep(WORK_S)
    signature = [("Oriolering-Response-Signature", f"{backend.id}.{request}")]
    return 200, signature, b"booked"


async def fail_some(backend, request, path, body):
    """Begins to work on the request and fails a share of them; the database is away."""
    status, signature, answer = await work(backend, request, path, body)
    if random.random() >= SHARE:
        return status, signature, answer
    # No `Oriolering-Not-Executed`: the request has run.
    return 503, signature, b"no database"


async def case(world):
    routes = [world.route("r-deposit", "/deposit/", "non_idempotent", "caja")]
    await world.begin(["caja", "caja", "caja", "caja", "rack"], routes)
    for machine in world.machines:
        machine.backend.respond = work
    if TROUBLE:
        world.machines[0].backend.respond = fail_some
    counts = {"sent": 0, "broken": 0, "twice": 0}

    async def deposit(machine):
        request = f"{random.getrandbits(64):016x}"
        answer = await world.call(machine, "POST", "/deposit/x", b"20 soles", request=request)
        if answer is None or answer.status not in PROMISES or world.runs(request) == 0:
            return
        counts["broken"] += 1
        world.record.note(f"{request} has run, and its client was told {answer.status}")
        # The client believes the promise, and tries once more as the pages tell.
        second = f"{random.getrandbits(64):016x}"
        await world.call(machine, "POST", "/deposit/x", b"20 soles", request=second)
        counts["twice"] += world.runs(second) > 0

    tasks = []
    end = time.monotonic() + FOR_S
    while time.monotonic() < end:
        tasks.append(asyncio.create_task(deposit(random.choice(world.machines))))
        counts["sent"] += 1
        await asyncio.sleep(random.expovariate(PER_S))
    await asyncio.gather(*tasks)
    world.record.note(f"{counts['broken']} of {counts['sent']} requests have run and were answered "
                      f"with a promise that they never will; {counts['twice']} of these deposits ran "
                      f"a second time")
    return counts["broken"] > 0


main(os.path.dirname(os.path.abspath(__file__)), case)
