"""A client connects to an initiator whose places are all taken, and sends 60 commands at once. 32 of them are told to come
again, and the connection is closed over the others, which came with them in one segment of some 9,000 bytes.

Exits with 1 if a connection of which some commands were answered ends over others. With TROUBLE=0 nobody else is there."""

import os
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import (IDS, TROUBLE, Discovery, Ended, Stream, Target, command, configuration, free_address, get,  # noqa: E402
                      main, pair, served)

DESCRIPTORS, BUSY_CLIENTS, ASKING_CLIENTS = 256, 80, 60
COMMANDS, ROUNDS = 60, 10


def case(record, platform):
    def work(request, reply):
        time.sleep(1.5 if request["fields"]["c"] == "bulk" else 0.02)
        reply(served(b"value"))

    discovery = Discovery(record)
    targets = [Target(record, f"s-{group}", group, work) for group in range(4)]
    for target in targets:
        discovery.tell(target.name, target.address, target.group)
    listen = free_address()
    process = platform.initiator("n1", configuration("n1", listen, discovery.address, sockets=DESCRIPTORS))
    platform.wait_ready(process, listen)
    time.sleep(0.5)
    done = threading.Event()

    def other(number, asks):
        try:
            client = socket.create_connection(pair(listen), 2)
            stream = Stream(client)
            client.settimeout(5)
            while not done.is_set():
                client.sendall(command([b"PING"]) if asks else
                               get(IDS.next(), number % 4, 6000, name="bulk", volume="%x" % (number + 1)))
                stream.reply()
                time.sleep(0.08 if asks else 0)
        except (Ended, OSError):
            pass

    if TROUBLE:
        for number in range(BUSY_CLIENTS + ASKING_CLIENTS):
            threading.Thread(target=other, args=(number, number >= BUSY_CLIENTS), daemon=True).start()
    time.sleep(1.0)
    cut = 0
    for _ in range(ROUNDS):
        client = socket.create_connection(pair(listen), 2)
        client.settimeout(3)
        stream = Stream(client)
        answered = 0
        client.sendall(b"".join(get(IDS.next(), 0) for _ in range(COMMANDS)))
        try:
            while answered < COMMANDS:
                stream.reply()
                answered += 1
            record(f"client: {answered} of {COMMANDS} answered")
        except (Ended, OSError) as why:
            cut += answered > 0
            record(f"client: {answered} of {COMMANDS} answered, then {why!r}")
        client.close()
        time.sleep(0.1)
    done.set()
    return f"{cut} of {ROUNDS} connections were closed over commands that came with answered ones" if cut else None


main(FOLDER, case)
