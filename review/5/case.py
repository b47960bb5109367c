"""Many callers send bodies of the size that the configuration allows, at the
same moment, while others book."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

from common import (EDGE, Booker, MemoryLimit, configure, has_trouble,  # noqa: E402
                    main, plain_script, read_answer)

# MaxBodyBytes of the configuration, and the 17 callers of the zone lhr-c, which
# has one gateway, in a burst of 1.7.
BODY_BYTES = 4194304
SENDERS = 28
BOOKERS = 8
BOOKING_S = 0.1
SECONDS = 6
# More than three requests lost in this way break the rule.
LOST_MAX = 3


async def send_body(bench, number, record):
    body = b"x" * (BODY_BYTES if has_trouble() else 800)
    try:
        reader, writer = await bench.connect()
        writer.write(bench.head("POST", f"/book/{number}", body,
                                **{"Deadline-Ms": "1000"}))
        status, _, _ = await read_answer(reader)
        record(f"sender {number}: {status}")
        writer.close()
    except (asyncio.IncompleteReadError, OSError):
        record(f"sender {number}: the connection ends without an answer")


async def case(bench, record):
    configure(bench)
    ran = []
    await bench.start(**EDGE)
    for i in range(3):
        await bench.add_target(f"portal-{i}", "plain",
                               plain_script(ran, BOOKING_S))
    await asyncio.sleep(3)
    limit = MemoryLimit(bench, EDGE["memory_mb"], record)
    watch = asyncio.ensure_future(limit.run())
    bookers = [Booker(bench, i, ran, record) for i in range(BOOKERS)]
    tasks = [asyncio.ensure_future(b.run(SECONDS)) for b in bookers]
    await asyncio.sleep(2)
    record(f"{SENDERS} callers send a body each")
    await asyncio.gather(*(send_body(bench, 100 + i, record)
                           for i in range(SENDERS)))
    await asyncio.gather(*tasks)
    watch.cancel()
    lost = sum(len(b.lost) for b in bookers)
    record(f"bookings answered {sum(b.answered for b in bookers)}, lost {lost}; "
           f"most memory {limit.peak_mb:.0f} MB, kills {limit.kills}")
    return lost <= LOST_MAX


main(case, os.path.dirname(os.path.abspath(__file__)))
