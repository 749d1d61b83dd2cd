"""A client reads a long value for some seconds and sends its next command meanwhile: the initiator has taken the connection
for idle and ended it, and the reset that follows cuts off what its machine still had to send. Exits with 1 if the value
is not whole."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, served)

LONG = 1024 * 1024
DEADLINE_MS = 6000
# The pages let peers need seconds to read.
READ_S = 6.0 if TROUBLE else 0.0
NEXT_AT_S = 4.0
ROUNDS = 3


def value(piece):
    return (piece.encode() * (LONG // len(piece) + 1))[:LONG]


def one_round(record, platform, number):
    def work(request, reply):
        time.sleep(0.06)
        reply(served(value(request["piece"]) if request["fields"]["c"] == "bulk" else b"short"))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen = free_address()
    process = platform.initiator(f"n{number}", configuration("n1", listen, discovery.address))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
    client.connect(pair(listen))
    client.settimeout(10)
    stream = Stream(client)
    first, piece, second = IDS.next(), IDS.next(), IDS.next()
    begun = record.now()
    client.sendall(get(first, 0, DEADLINE_MS, name="bulk", piece=piece, units=8))
    record(f"client: asked for {first}, {LONG} bytes")
    got, sent_second = b"", False
    try:
        left = int(stream.line()[1:])
        while left:
            got += stream.exactly(min(left, 32768))
            left = LONG - len(got)
            time.sleep(max(0.0, begun + READ_S * (1 - left / LONG) - record.now()))
            if TROUBLE and not sent_second and record.now() - begun > NEXT_AT_S:
                sent_second = True
                client.sendall(get(second, 0))
                record(f"client: sent {second} behind it, and reads on")
    except (Ended, OSError) as why:
        record(f"round {number}: the value ended {LONG - len(got)} bytes early, {record.now() - begun:.3f} s after it was asked"
               f" for: {why!r}")
        process.terminate()
        return f"{LONG - len(got)} of {LONG} bytes of a value that the target had sent whole were cut off"
    record(f"round {number}: the value is whole after {record.now() - begun:.3f} s")
    process.terminate()
    return None if got == value(piece) else "a wrong value"


def case(record, platform):
    found = [one_round(record, platform, number) for number in range(1, ROUNDS + 1)]
    broken = [one for one in found if one]
    return broken[0] if broken else None


main(FOLDER, case)
