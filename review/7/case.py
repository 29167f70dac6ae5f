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
REQUESTS = 100


async def fail_some(backend, request, path, body):
    """Begins to work on the request and fails a share of them; the database is away."""
    await asyncio.sleep(0.05)
    if random.random() >= SHARE:
        return None
    # No `Oriolering-Not-Executed`: the request has run.
    return 503, [("Oriolering-Response-Signature", f"{backend.id}.{request}")], b"no database"


async def case(world):
    routes = [world.route("r-deposit", "/deposit/", "non_idempotent", "caja")]
    await world.begin(["caja", "caja", "caja", "caja", "rack"], routes)
    if TROUBLE:
        world.machines[0].backend.respond = fail_some
    broken = twice = 0
    for number in range(REQUESTS):
        machine = world.machines[number % 5]
        request = f"{random.getrandbits(64):016x}"
        answer = await world.call(machine, "POST", "/deposit/x", b"20 soles", request=request)
        if answer is None or answer.status not in PROMISES or world.runs(request) == 0:
            continue
        broken += 1
        world.record.note(f"{request} has run, and its client was told {answer.status}")
        # The client believes the promise, and tries once more as the pages tell.
        second = f"{random.getrandbits(64):016x}"
        await world.call(machine, "POST", "/deposit/x", b"20 soles", request=second)
        if world.runs(second):
            twice += 1
    world.record.note(f"{broken} of {REQUESTS} requests have run and were answered with a promise "
                      f"that they never will; {twice} of these deposits ran a second time")
    return broken > 0


main(os.path.dirname(os.path.abspath(__file__)), case)
