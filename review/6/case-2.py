"""Clients of the second front that need two seconds to send the data of their writes."""

import os
import signal
import socket
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import Session  # noqa: E402
from standins import (IDS, TROUBLE, CouldNotRun, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, served)

NAME = "iqn.2026-12.example:records"
MEMORY_MB = 32
# Each session keeps to the window that it is given, and sends as many bytes of a write as it is asked for.
SESSIONS, DEPTH = 40, 16
BLOCK, BLOCKS = 512, 128
REST = 4096
PAUSE_S = 2.0
USUAL_CLIENTS = 4
LATEST_S = 2.0 + 0.55
UNITS = f"""enabled = true
listen = "LISTEN"
[[target]]
name = "{NAME}"
[[target.unit]]
lun = 0
volume = "00000000000000a0"
plan = "plus"
read = "read"
write = "write"
shard = 0
blocks = 2097152
block_bytes = {BLOCK}
unit_bytes = 8192
"""


def case(record, platform):
    def work(request, reply):
        time.sleep(0.05)
        reply(served(b"value"))

    discovery = Discovery(record)
    target = Target(record, "s-1", 0, work)
    discovery.tell("s-1", target.address, 0)
    listen, front = free_address(), free_address()
    process = platform.initiator(
        "n1", configuration("n1", listen, discovery.address, memory_mb=MEMORY_MB, sockets=1024),
        iscsi=UNITS.replace("LISTEN", front))
    platform.wait_ready(process, listen)
    done, killed_at, peak = threading.Event(), [], [0]

    def memory_limit():
        """The platform: over the limit the initiator is killed."""
        while not done.is_set() and process.poll() is None:
            with open(f"/proc/{process.pid}/status", encoding="ascii") as status:
                used = sum(int(line.split()[1]) for line in status if line.startswith("VmRSS")) / 1024
            peak[0] = max(peak[0], used)
            if used > MEMORY_MB:
                record(f"platform: the initiator uses {used:.1f} of {MEMORY_MB} MB and is killed")
                killed_at.append(record.now())
                process.send_signal(signal.SIGKILL)
                return
            time.sleep(0.01)

    answered, unanswered = [], []

    def usual_client(number):
        client = socket.create_connection(pair(listen), 2)
        stream = Stream(client)
        client.settimeout(LATEST_S)
        while not done.is_set():
            identity = IDS.next()
            try:
                client.sendall(get(identity, 0))
                reply = stream.reply()
                answered.append(identity)
                if len(answered) % 100 == 1:
                    record(f"client {number}: answer to {identity}: {reply!r}")
            except (Ended, OSError) as why:
                if not done.is_set():
                    unanswered.append(identity)
                    record(f"client {number}: no answer to {identity}: {why!r}")
                return
            time.sleep(0.05)

    statuses, sessions_ended = [], []

    def writer(number):
        body = os.urandom(BLOCK * BLOCKS)
        try:
            session = Session(front, NAME, record, number)
            for one in range(DEPTH):
                session.command(True, (number * DEPTH + one) * BLOCKS, BLOCKS, len(body))
            asked, got = [], 0
            while len(asked) + got < DEPTH:
                header, _ = session.receive(10)
                if header[0] & 0x3f == 0x31:
                    asked.append((int.from_bytes(header[16:20], "big"), int.from_bytes(header[20:24], "big"),
                                  int.from_bytes(header[40:44], "big"), int.from_bytes(header[44:48], "big")))
                else:
                    got += 1
                    statuses.append(header[3])
            for tag, transfer, at, length in asked:
                first = length - REST
                session.data_out(tag, transfer, 0, at, body[at:at + first], False)
                if not TROUBLE:
                    session.data_out(tag, transfer, 1, at + first, body[at + first:at + length], True)
            if TROUBLE:
                time.sleep(PAUSE_S)
                for tag, transfer, at, length in asked:
                    session.data_out(tag, transfer, 1, at + length - REST, body[at + length - REST:at + length], True)
            while got < DEPTH:
                header, _ = session.receive(10)
                if header[0] & 0x3f == 0x21:
                    got += 1
                    statuses.append(header[3])
        except (Ended, OSError) as why:
            sessions_ended.append(number)
            if len(sessions_ended) == 1:
                record(f"iSCSI client {number}: {why!r}")

    threads = [threading.Thread(target=usual_client, args=(number,), daemon=True) for number in range(USUAL_CLIENTS)]
    threads.append(threading.Thread(target=memory_limit, daemon=True))
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    if process.poll() is not None or not answered:
        raise CouldNotRun("the initiator does not serve its usual clients")
    record(f"iSCSI clients: {SESSIONS} sessions begin {DEPTH} writes of {BLOCK * BLOCKS} bytes each")
    writers = [threading.Thread(target=writer, args=(number,), daemon=True) for number in range(SESSIONS)]
    for thread in writers:
        thread.start()
    for thread in writers:
        thread.join(20)
    time.sleep(0.5)
    done.set()
    good, busy = statuses.count(0), statuses.count(8)
    record(f"iSCSI clients: {good} writes good, {busy} busy, {len(statuses) - good - busy} other, {len(sessions_ended)} sessions"
           " ended")
    record(f"usual clients: {len(answered)} answered, {len(unanswered)} not; greatest use of memory {peak[0]:.1f} of"
           f" {MEMORY_MB} MB")
    if killed_at:
        return f"the initiator went over its limit of {MEMORY_MB} MB and was killed, with {len(unanswered)} requests open"
    if process.poll() is not None:
        return f"the initiator ended with {process.returncode}"
    return "a usual client got no answer" if unanswered else None


main(FOLDER, case)
