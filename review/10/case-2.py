"""Long values beyond what memory holds, and a client that stops two bytes before the end of a write and stays."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, CouldNotRun, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, put, served)

MEMORY_MB = 32
LONG = 4 * 1024 * 1024
READERS = 4
WORK_S = 0.06
READ_S = 4.0
STAYS_S = 6.0


def case(record, platform):
    def work(request, reply):
        time.sleep(WORK_S)
        reply(served(b"x" * LONG if request["verb"] == "OBJ.GET" else b"kept"))

    discovery = Discovery(record)
    targets = [Target(record, f"s-{group}", group, work) for group in range(4)]
    for target in targets:
        discovery.tell(target.name, target.address, target.group)
    listen = free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address, memory_mb=MEMORY_MB, sockets=256))
    platform.wait_ready(process, listen)
    time.sleep(0.5)

    def slow_reader(number):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.connect(pair(listen))
        client.settimeout(20)
        stream = Stream(client)
        client.sendall(get(IDS.next(), 1 + number % 3, 6000, name="bulk", units=8))
        try:
            left, begun = int(stream.line()[1:]), record.now()
            while left:
                left -= len(stream.exactly(min(left, 65536)))
                time.sleep(max(0.0, begun + READ_S * (1 - left / LONG) - record.now()))
            record(f"slow reader {number}: has the whole value")
        except (Ended, OSError, ValueError) as why:
            record(f"slow reader {number}: {why!r}")

    if TROUBLE:
        for number in range(READERS):
            threading.Thread(target=slow_reader, args=(number,), daemon=True).start()
        time.sleep(1.0)

    # A whole write of the same size first: its client is answered, and it runs once.
    whole = IDS.next()
    client = socket.create_connection(pair(listen), 2)
    client.settimeout(10)
    client.sendall(put(whole, 0, b"y" * LONG, units=8))
    reply = Stream(client).reply()
    record(f"client: answer to the whole write {whole}: {reply!r}")
    client.close()
    if TROUBLE and not (isinstance(reply, bytes) or str(reply).startswith("-BUSY")):
        raise CouldNotRun("a whole write has failed")

    unfinished = IDS.next()
    client = socket.create_connection(pair(listen), 2)
    begun = record.now()
    client.sendall(put(unfinished, 0, b"z" * LONG, units=8)[:-2])
    record(f"client: sent {unfinished} but for its last two bytes, after {record.now() - begun:.3f} s, and stays")
    reply = None
    client.settimeout(STAYS_S)
    try:
        reply = Stream(client).reply()
        record(f"client: got {reply!r} {record.now() - begun:.3f} s after it connected")
    except (Ended, ConnectionError):
        record(f"client: was closed {record.now() - begun:.3f} s after it connected")
    except socket.timeout:
        record("client: got neither an answer nor a close")
    client.close()
    time.sleep(0.5)
    runs = sum(request["id"] == unfinished for target in targets for request in target.ran)
    record(f"the unfinished write has run {runs} times")
    # The rule is on what the client is given; that the write has run is recorded beside it.
    return f"a write that its client had not finished was served, and ran {runs} times" if isinstance(reply, bytes) else None


main(FOLDER, case)
