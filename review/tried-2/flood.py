"""A bad client of the second front sends writes marked for immediate delivery, at full speed, and none of their data:
they pass by the command window, and each becomes a task. Exits with 1 if the initiator goes over its limit on memory."""

import os
import signal
import socket
import struct
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from iscsi import FINAL, Session, encode, pdu  # noqa: E402
from standins import (IDS, TROUBLE, CouldNotRun, Discovery, Ended, Stream, Target, configuration, free_address,  # noqa: E402
                      get, main, pair, served)

NAME = "iqn.2026-12.example:records"
MEMORY_MB = 32
BAD_S, MOST_COMMANDS = 20.0, 1_500_000
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
        "n1", configuration("n1", listen, discovery.address, memory_mb=MEMORY_MB, sockets=256),
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
                unanswered.append(identity)
                record(f"client {number}: no answer to {identity}: {why!r}")
                return
            time.sleep(0.05)

    def bad_client():
        try:
            session = Session(front, NAME, record)
        except (Ended, OSError) as why:
            record(f"bad client: no session: {why!r}")
            return
        got = [0]

        def reader():
            try:
                while True:
                    bytes_read = len(session.sock.recv(1 << 20))
                    got[0] += bytes_read
                    if not bytes_read:
                        return
            except OSError:
                return

        session.sock.settimeout(BAD_S)
        threading.Thread(target=reader, daemon=True).start()
        sent, end = 0, record.now() + BAD_S
        try:
            while record.now() < end and sent < MOST_COMMANDS and not done.is_set():
                commands = b""
                for _ in range(500):
                    sent += 1
                    # WRITE(16) of 16 blocks, immediate delivery, nothing of its data.
                    header, data = pdu(0x41, FINAL | 0x20 | 1, sent, fields=[(20, 8192), (24, session.sn)])
                    header[32] = 0x8a
                    header[34:42] = struct.pack(">Q", sent * 16 % 2_000_000)
                    header[42:46] = struct.pack(">I", 16)
                    commands += encode(header, data)
                session.sock.sendall(commands)
        except OSError as why:
            record(f"bad client: {why!r}")
        record(f"bad client: sent {sent} writes without data and read {got[0]} bytes; the initiator uses {peak[0]:.1f} MB"
               " at the most")

    threads = [threading.Thread(target=usual_client, args=(number,), daemon=True) for number in range(USUAL_CLIENTS)]
    threads.append(threading.Thread(target=memory_limit, daemon=True))
    for thread in threads:
        thread.start()
    time.sleep(1.0)
    if process.poll() is not None or not answered:
        raise CouldNotRun("the initiator does not serve its usual clients")
    if TROUBLE:
        bad_client()
    else:
        time.sleep(5.0)
    time.sleep(0.5)
    done.set()
    record(f"{len(answered)} requests answered, {len(unanswered)} not; greatest use of memory {peak[0]:.1f} of {MEMORY_MB} MB")
    if killed_at:
        return f"the initiator went over its limit of {MEMORY_MB} MB and was killed, with {len(unanswered)} requests open"
    if process.poll() is not None:
        return f"the initiator ended with {process.returncode}"
    return "a usual client got no answer" if unanswered else None


main(FOLDER, case)
