"""A new version takes over while a client's commands, sent at once, are being answered. What the old process has read and
not handled goes to the new one without its age, which tells targets the whole of a time that has partly passed.

Exits with 1 if a target is told more than what is left to the client, with 0.15 s of slack (and 50 ms of sockets)."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, served)

COMMANDS, DEADLINE_MS = 40, 2000
SLACK_S = 0.15 + 0.05


def case(record, platform):
    slots = threading.Semaphore(2)

    def work(request, reply):
        with slots:
            time.sleep(0.06)
        reply(served(b"value"))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen = free_address()

    def start(name):
        control = free_address()
        process = platform.initiator(name, configuration("n1", listen, discovery.address, control=control, sockets=256),
                                     folder="tmp")
        platform.wait_operator_yes(process, control)
        return process

    old = start("old")
    time.sleep(0.5)
    client = socket.create_connection(pair(listen), 2)
    stream = Stream(client)
    client.settimeout(10)
    ids = [IDS.next() for _ in range(COMMANDS)]
    client.sendall(b"".join(get(one, 0, DEADLINE_MS) for one in ids))
    sent = record.now()
    record(f"client: sent {COMMANDS} commands at once, each waited for {DEADLINE_MS} ms")
    if TROUBLE:
        start("new")
        old.send_signal(signal.SIGTERM)
        record("platform: the new process says yes; SIGTERM to the old one")
    answered = 0
    try:
        for _ in ids:
            stream.reply()
            answered += 1
    except (Ended, OSError) as why:
        record(f"client: {why!r}")
    excess = [float(one["fields"]["d"]) / 1000 - (sent + DEADLINE_MS / 1000 - one["at"]) for one in target.ran]
    record(f"{answered} answered within {record.now() - sent:.3f} s; {len(excess)} attempts, told {max(excess):.3f} s more than"
           f" was left at the most, {sum(one > SLACK_S for one in excess)} of them over the slack")
    return f"a target was told {max(excess):.3f} s too much" if max(excess) > SLACK_S else None


main(FOLDER, case)
