"""A target breaks off a long value of which a part was passed on: what is open behind it on the client's connection gets no
answer. AT=later: it was sent when the value had begun. AT=deadline: it was sent with the value's command, whose time came
before the value was whole. Memory has room for the value.

Exits with 1 if a request that its target has run gets no answer."""

import os
import socket
import struct
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, configuration, free_address, get, main, pair,  # noqa: E402
                      put, served)

AT = os.environ.get("AT", "later")
LONG, PIECES = 1024 * 1024, 16


def case(record, platform):
    def work(request, reply):
        if request["fields"]["c"] != "bulk":
            time.sleep(0.06)
            return reply(served(b"kept"))
        time.sleep(0.1)
        data, sock = served(b"x" * LONG), request["sock"]
        step = len(data) // PIECES + 1
        for number in range(PIECES):
            if TROUBLE and number == PIECES - 2:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                record("s-0: resets the connection within the value")
                raise Ended()
            reply(data[number * step:(number + 1) * step])
            time.sleep(0.2)

    discovery = Discovery(record)
    targets = [Target(record, f"s-{group}", group, work) for group in range(2)]
    for target in targets:
        discovery.tell(target.name, target.address, target.group)
    listen = free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    client = socket.create_connection(pair(listen), 2)
    client.settimeout(10)
    stream = Stream(client)
    write = IDS.next()
    behind = put(write, 1, b"body")
    first = get(IDS.next(), 0, 6000 if AT == "later" else 1000, name="bulk", units=8)
    if AT == "later":
        client.sendall(first)
        stream.line()
        client.sendall(behind)
    else:
        client.sendall(first + behind)
        stream.line()
    record(f"client: has the head of the long value, and {write} is behind it")
    answer = None
    try:
        stream.exactly(LONG + 2)
        answer = stream.reply()
    except (Ended, OSError) as why:
        record(f"client: {why!r}")
    ran = [one["id"] for one in targets[1].ran]
    record(f"the write has run {ran.count(write)} times, and its answer is {answer!r}")
    return "a write that ran got no answer" if answer is None and write in ran else None


main(FOLDER, case)
