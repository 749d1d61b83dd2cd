"""Long values beyond what memory holds: one of them is answered on a connection that carries further commands."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, served)

MEMORY_MB = 32
LONG, SHORT = 4 * 1024 * 1024, 48 * 1024
READERS = 4
WORK_S = 0.06
DEADLINE_MS = 6000
# The slow readers read for this long. The pages let peers need seconds.
READ_S = 4.0
LATE_S = 0.55


def value(piece, length):
    seed = piece.encode() + b"."
    return (seed * (length // len(seed) + 1))[:length]


def case(record, platform):
    lengths = {}

    def work(request, reply):
        time.sleep(WORK_S)
        reply(served(value(request["piece"], lengths[request["piece"]])))

    discovery = Discovery(record)
    targets = [Target(record, f"s-{group}", group, work) for group in range(4)]
    for target in targets:
        discovery.tell(target.name, target.address, target.group)
    listen = free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address, memory_mb=MEMORY_MB, sockets=256))
    platform.wait_ready(process, listen)
    time.sleep(0.5)

    def ask(client, shard, length):
        identity, piece = IDS.next(), IDS.next()
        lengths[piece] = length
        client.sendall(get(identity, shard, DEADLINE_MS, name="bulk", piece=piece, units=8))
        return identity, piece

    wrong, finished = [], []

    def slow_reader(number):
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        client.connect(pair(listen))
        identity, piece = ask(client, 1 + number % 3, LONG)
        record(f"slow reader {number}: asked for {identity}, {LONG} bytes")
        stream = Stream(client)
        client.settimeout(30)
        try:
            head = stream.line()
            if not head.startswith(b"$"):
                record(f"slow reader {number}: {head.decode()}")
                return
            got, begun = [], record.now()
            left = int(head[1:])
            while left:
                piece_bytes = stream.exactly(min(left, 65536))
                got.append(piece_bytes)
                left -= len(piece_bytes)
                # Evenly over the time that it takes to read.
                ahead = begun + READ_S * (1 - left / LONG) - record.now()
                time.sleep(max(0.0, ahead))
            if b"".join(got) != value(piece, LONG):
                wrong.append(identity)
            finished.append(number)
            record(f"slow reader {number}: has the whole value")
        except (Ended, OSError) as why:
            record(f"slow reader {number}: {why!r}")

    readers = [threading.Thread(target=slow_reader, args=(number,), daemon=True) for number in range(READERS)]
    if TROUBLE:
        for reader in readers:
            reader.start()
        time.sleep(1.0)
    # It reads as fast as it can, and has sent its commands at once.
    client = socket.create_connection(pair(listen), 2)
    asked = []
    asked_at = record.now()
    for length in (LONG, SHORT, SHORT):
        asked.append((*ask(client, 0, length), length))
    record(f"client: asked at once for {', '.join(f'{one[0]} ({one[2]} bytes)' for one in asked)}")
    stream = Stream(client)
    answered = 0
    last = asked_at + DEADLINE_MS / 1000 + LATE_S
    # Answers come in the order of the commands, and the time before the first bytes counts; what comes after them may
    # take a peer seconds. The case waits for all of that and as long again.
    client.settimeout(2 * (DEADLINE_MS / 1000 + READ_S))
    try:
        for identity, piece, length in asked:
            reply = stream.reply()
            if isinstance(reply, bytes) and reply != value(piece, length):
                return f"a foreign value for {identity}"
            answered += 1
            record(f"client: answer to {identity}: {reply if isinstance(reply, str) else f'{len(reply)} bytes'}")
    except socket.timeout:
        at = f"{len(stream.buffer) - stream.at} bytes of the next answer"
        record(f"client: nothing more came until {record.now() - asked_at:.1f} s after the commands; it has {at}")
    except (Ended, ConnectionError) as why:
        record(f"client: the connection ended: {why!r}")
    ran = {request["id"] for target in targets for request in target.ran}
    record(f"{answered} of {len(asked)} answered; begun at the target: {len(ran & {one[0] for one in asked})}")
    for reader in readers:
        if TROUBLE:
            reader.join(10)
    record(f"slow readers with their whole value: {sorted(finished)}, with a wrong one: {wrong}")
    if wrong:
        return "a slow reader got a wrong value"
    if answered < len(asked):
        return f"{len(asked) - answered} of {len(asked)} requests that targets served got no whole answer"
    return None


main(FOLDER, case)
