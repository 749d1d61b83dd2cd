"""A client reads a long value for some seconds, and sends its next command on the same connection after four."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, configuration, free_address, get, main,  # noqa: E402
                      pair, served)

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
    command = get(second, 0)
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
            if not sent_second and record.now() - begun > NEXT_AT_S:
                sent_second = True
                client.sendall(command)
                record(f"client: sent {second} behind it, and reads on")
        stream.exactly(2)
    except (Ended, OSError) as why:
        record(f"round {number}: the value ended {LONG - len(got)} bytes early, {record.now() - begun:.3f} s after it was asked"
               f" for: {why!r}")
        process.terminate()
        return f"{LONG - len(got)} of {LONG} bytes of a value that the target had sent whole were cut off"
    record(f"round {number}: the value is whole after {record.now() - begun:.3f} s")
    reply = None
    try:
        if not sent_second:
            time.sleep(max(0.0, begun + NEXT_AT_S - record.now()))
            client.sendall(command)
            record(f"client: sent {second}")
        reply = stream.reply()
    except (Ended, OSError) as why:
        # Between requests an initiator may close; what crosses that is sent once more on a new connection.
        record(f"client: the connection has ended ({why!r}), {second} is sent once more on a new one")
        with socket.create_connection(pair(listen), 2) as again:
            again.settimeout(5)
            again.sendall(command)
            reply = Stream(again).reply()
    record(f"client: answer to {second}: {reply!r}")
    process.terminate()
    if got != value(piece):
        return "a wrong value"
    return None


def case(record, platform):
    found = [one_round(record, platform, number) for number in range(1, ROUNDS + 1)]
    broken = [one for one in found if one]
    return broken[0] if broken else None


main(FOLDER, case)
