"""An operator drains the initiator while a client's commands, sent at once before the call, are being answered."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (COULD_NOT_RUN, IDS, TROUBLE, CouldNotRun, Discovery, Ended, Stream, Target, call_operator,  # noqa: E402
                      configuration, free_address, get, main, pair, served)

COMMANDS = 40
DEADLINE_MS = 2000
WORK_S = 0.06
CORES = 2
ROUNDS = 3
# An answer may be half a second late and is then only worth nothing; 50 ms are the slack of limits on sockets.
LATEST_S = DEADLINE_MS / 1000 + 0.55


def unread_bytes(client):
    """Bytes that have arrived at the initiator's end of the connection and that its process has not read."""
    def form(address):
        host, port = address
        number = int.from_bytes(socket.inet_aton(host), sys.byteorder)
        return "%08X:%04X" % (number, port)
    local, remote = form(client.getpeername()), form(client.getsockname())
    with open("/proc/net/tcp", encoding="ascii") as table:
        for line in table:
            fields = line.split()
            if fields[1] == local and fields[2] == remote:
                return int(fields[4].split(":")[1], 16)
    return None


def one_round(record, platform, number):
    slots = threading.Semaphore(CORES)

    def work(request, reply):
        with slots:
            time.sleep(WORK_S)
        reply(served(b"value of " + request["piece"].encode()))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, control = free_address(), free_address()
    process = platform.initiator(
        f"n{number}", configuration("n1", listen, discovery.address, control=control, sockets=256))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    client = socket.create_connection(pair(listen), 2)
    stream = Stream(client)
    client.sendall(get(IDS.next(), 0))
    if stream.reply()[:8] != b"value of":
        raise CouldNotRun("the first request is not served")
    ids, pieces = [IDS.next() for _ in range(COMMANDS)], [IDS.next() for _ in range(COMMANDS)]
    sent_at = record.now()
    client.sendall(b"".join(get(one, 0, DEADLINE_MS, piece=piece) for one, piece in zip(ids, pieces)))
    record(f"client: sent {COMMANDS} commands at once, {ids[0]} to {ids[-1]}")
    time.sleep(0.1)
    unread = unread_bytes(client)
    record(f"platform: the initiator's process has left {unread} bytes of them unread")
    if TROUBLE:
        if not call_operator(record, control, "drain").startswith("200"):
            raise CouldNotRun("the drain was refused")
    answered, late, ended = 0, 0, None
    try:
        for one, piece in zip(ids, pieces):
            client.settimeout(max(0.01, sent_at + LATEST_S + 2 - record.now()))
            reply = stream.reply()
            answered += 1
            late += record.now() > sent_at + LATEST_S
            if isinstance(reply, bytes) and reply != b"value of " + piece.encode():
                record(f"client: foreign value for {one}: {reply!r}")
                return "a foreign value"
            record(f"client: answer to {one}: {reply if isinstance(reply, str) else 'served'}")
    except (Ended, ConnectionError):
        ended = record.now()
        record(f"client: the initiator ended the connection, {COMMANDS - answered} commands have no answer")
    except socket.timeout:
        record(f"client: nothing more came, {COMMANDS - answered} commands have no answer")
    ran = {request["id"] for request in target.ran}
    record(f"round {number}: {answered} of {COMMANDS} answered, {late} of them late, {len(ran & set(ids))} begun at the"
           f" target, unread before the call: {unread}")
    process.terminate()
    client.close()
    if answered == COMMANDS:
        return None
    if ended is not None and unread != 0:
        # It may have closed between requests, over some that it had not read.
        return None
    return f"{COMMANDS - answered} of {COMMANDS} commands that it had read got no answer"


def case(record, platform):
    found = [one_round(record, platform, number) for number in range(1, ROUNDS + 1)]
    broken = [one for one in found if one]
    return broken[0] if broken else None


main(FOLDER, case)
