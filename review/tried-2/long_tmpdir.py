"""A second start beside the running process, where both share a $TMPDIR with a long path. The socket at which the processes
meet has a path that is too long for the system, so that the second start takes over no listener, finds the clients'
address in use and ends.

Exits with 1 if the new process ends or does not say yes within 6 s. With TROUBLE=0 the path is short."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lib-2"))
from standins import TROUBLE, CouldNotRun, Discovery, Target, configuration, free_address, main, served  # noqa: E402

LENGTH = 90 if TROUBLE else 5


def case(record, platform):
    discovery = Discovery(record)
    target = Target(record, "s-1", 0, lambda request, reply: reply(served(b"value")))
    discovery.tell("s-1", target.address, 0)
    listen = free_address()

    def start(name):
        control = free_address()
        config = configuration("n1", listen, discovery.address, control=control)
        return platform.initiator(name, config, folder="x" * LENGTH), control

    platform.wait_operator_yes(*start("old"))
    new, control = start("new")
    try:
        platform.wait_operator_yes(new, control)
    except CouldNotRun as why:
        record(f"platform: {why}")
        return f"a second start beside the running process: {why}"
    record("platform: the new process says yes")
    return None


main(FOLDER, case)
