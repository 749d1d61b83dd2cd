"""Stand-ins of the second review, in the standard library alone: discovery, a RESP2 target, clients, and the platform
that starts and ends the project's programs with the commands of the deploy file. Addresses are loopback ones."""

import atexit
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


class CouldNotRun(Exception):
    pass


class Record:
    """What was sent, answered and run, in order, in `record.txt` of the case's folder."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{self.now():9.3f} {text}\n")
            self.file.flush()


def free_address(ip="127.0.0.1"):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        probe.bind((ip, 0))
        return f"{ip}:{probe.getsockname()[1]}"


def pair(address):
    host, port = address.rsplit(":", 1)
    return host, int(port)


def deploy_command(name):
    """A command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
        found = re.search(rf'^{name} = "([^"]*)"', file.read(), re.M)
    if not found:
        raise CouldNotRun(f"the deploy file has no {name}")
    return found.group(1)


class Platform:
    """Starts programs, each in a session of its own, and ends all of them at the end of the case."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.processes = []
        atexit.register(self.end)

    def end(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                    process.kill()
                except ProcessLookupError:
                    pass
        for process in self.processes:
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        with open(self.path(name), "w", encoding="utf-8") as file:
            file.write(text)
        return self.path(name)

    def spawn(self, command, environment, log):
        """Runs a command from the root with /bin/sh, as the platform does."""
        program = command.split()[1] if command.startswith("exec ") else command.split()[0]
        if not os.path.exists(os.path.join(ROOT, program)):
            raise CouldNotRun(f"{program} is not built")
        with open(self.path(log), "ab") as out:
            process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env={**os.environ, **environment}, stdin=subprocess.DEVNULL,
                stdout=out, stderr=out)
        self.processes.append(process)
        return process

    def initiator(self, name, config, folder=None, **files):
        """Starts an initiator. `folder` names its $TMPDIR, which two processes of one initiator share; `files` gives
        the text of the optional parts' files, by TOPAZPATH_ variable."""
        folder = self.path(folder or name + ".tmp")
        os.makedirs(folder, exist_ok=True)
        config_path = self.write(name + ".json", json.dumps(config))
        environment = {
            "NODE_NAME": config["name"], "NODE_LISTEN": config["listen"], "NODE_DISCOVERY": config["discovery"],
            "NODE_CONFIG": config_path, "TMPDIR": folder, "TOPAZPATH_LOG": os.environ.get("REVIEW_LOG", "info"),
        }
        if config.get("control"):
            environment["NODE_CONTROL"] = config["control"]
        for part in ("ISCSI", "PLANNERS", "VRRP", "FLEET"):
            text = files.get(part.lower())
            environment["TOPAZPATH_" + part] = (
                self.path(f"{name}.no-{part.lower()}") if text is None else self.write(f"{name}.{part.lower()}.toml", text))
        process = self.spawn(deploy_command("run"), environment, name + ".log")
        self.record(f"platform: started {name}, process {process.pid}")
        return process

    def wait_ready(self, process, address, seconds=20):
        """Waits until an initiator answers PING with PONG."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if process.poll() is not None:
                raise CouldNotRun(f"the program ended with {process.returncode}")
            try:
                with socket.create_connection(pair(address), 1) as probe:
                    probe.sendall(command([b"PING"]))
                    if probe.recv(64) == b"+PONG\r\n":
                        return
            except OSError:
                pass
            time.sleep(0.02)
        raise CouldNotRun("the program is not ready in time")

    def wait_operator_yes(self, process, control, seconds=6):
        """Waits until a process says yes to `ready` at its operators' door, which is its own while another process of
        the same initiator still answers at the clients' address."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if process.poll() is not None:
                raise CouldNotRun(f"the new program ended with {process.returncode}")
            try:
                if call_operator(lambda text: None, control, "ready").startswith("200"):
                    return
            except OSError:
                pass
            time.sleep(0.02)
        raise CouldNotRun("the new program does not say yes in time")


def command(words):
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def bulk(value):
    return b"$%d\r\n%s\r\n" % (len(value), value)


def served(value):
    """A target's answer: the value, no figures on use, no load report."""
    return b"*3\r\n" + bulk(value) + b"$-1\r\n$-1\r\n"


class Ended(Exception):
    """The peer ended the connection."""


class Stream:
    """A connection with buffered reading."""

    def __init__(self, sock):
        self.sock = sock
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.buffer = b""
        self.at = 0

    def more(self, size=65536):
        got = self.sock.recv(size)
        if not got:
            raise Ended()
        self.buffer = self.buffer[self.at:] + got
        self.at = 0

    def line(self):
        while True:
            end = self.buffer.find(b"\r\n", self.at)
            if end >= 0:
                text = self.buffer[self.at:end]
                self.at = end + 2
                return text
            self.more()

    def exactly(self, count):
        while len(self.buffer) - self.at < count:
            self.more()
        text = self.buffer[self.at:self.at + count]
        self.at += count
        return text

    def reply(self):
        """One RESP2 reply: bytes of a bulk string, None, a list, or a str of a simple or error line."""
        line = self.line()
        kind, rest = line[:1], line[1:]
        if kind == b"$":
            if rest == b"-1":
                return None
            return self.exactly(int(rest) + 2)[:-2]
        if kind == b"*":
            return [self.reply() for _ in range(int(rest))]
        return line.decode("utf-8", "replace")


def serve(handle, address=None):
    """Listens and runs `handle(socket)` in a thread for each connection. Returns the address and the listener."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(pair(address) if address else ("127.0.0.1", 0))
    listener.listen(256)

    def accept():
        while True:
            try:
                sock, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=guarded, args=(sock,), daemon=True).start()

    def guarded(sock):
        try:
            handle(sock)
        except (Ended, OSError):
            pass
        finally:
            sock.close()

    threading.Thread(target=accept, daemon=True).start()
    return "%s:%d" % listener.getsockname(), listener


class Discovery:
    """The agent with the node list: the whole list, and watches that wait for a change."""

    def __init__(self, record, address=None):
        self.record = record
        self.index = 1
        self.entries = {}
        self.changes = []
        self.changed = threading.Condition()
        self.calls = 0
        self.address, self.listener = serve(self.handle, address)

    def entry(self, name, address, group, status="active", since_ms=0):
        return {"name": name, "address": address, "zone": "a", "type": "m", "group": group, "status": status,
                "weight": 1.0, "since_ms": since_ms}

    def tell(self, name, address, group, status="active", since_ms=0):
        with self.changed:
            self.index += 1
            entry = self.entry(name, address, group, status, since_ms)
            self.entries[name] = entry
            self.changes.append((self.index, entry))
            if status == "left":
                del self.entries[name]
            self.changed.notify_all()
        self.record(f"discovery: {name} is {status}, version {self.index}")

    def handle(self, sock):
        stream = Stream(sock)
        while True:
            request = stream.line().decode()
            while stream.line():
                pass
            with self.changed:
                self.calls += 1
                found = re.search(r"after=(\d+)&wait_ms=(\d+)", request)
                if found:
                    after, wait = int(found.group(1)), int(found.group(2))
                    self.changed.wait_for(lambda: self.index > after, wait / 1000)
                    newer = {}
                    for index, entry in self.changes:
                        if index > after:
                            newer[entry["name"]] = entry
                    message = {"index": self.index, "snapshot": False, "endpoints": list(newer.values())}
                else:
                    message = {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}
            body = json.dumps(message).encode()
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"
                         % (len(body), body))


class Target:
    """A RESP2 target that holds one shard. `work(request, reply)` is run in the connection's thread for each whole
    command; it answers by way of `reply(bytes)` or leaves the command without an answer."""

    def __init__(self, record, name, group, work, address=None):
        self.record, self.name, self.group, self.work = record, name, group, work
        self.lock = threading.Lock()
        self.ran = []
        self.address, self.listener = serve(self.handle, address)

    def handle(self, sock):
        stream = Stream(sock)
        while True:
            kind = stream.line()
            words = []
            for _ in range(int(kind[1:])):
                words.append(stream.exactly(int(stream.line()[1:]) + 2)[:-2])
            verb = words[0].upper()
            if verb == b"PING":
                sock.sendall(b"+PONG\r\n")
            elif verb in (b"CLIENT", b"SELECT"):
                sock.sendall(b"+OK\r\n")
            elif verb not in (b"OBJ.GET", b"OBJ.PUT"):
                sock.sendall(b"-ERR unknown\r\n")
            else:
                fields = dict(one.split("=", 1) for one in words[3].decode().split(","))
                request = {"verb": verb.decode(), "piece": words[1].decode(), "id": words[2].decode(), "fields": fields,
                           "body": words[4] if len(words) > 4 else b"", "sock": sock, "stream": stream,
                           "at": self.record.now()}
                if fields["shard"] not in ("-1", str(self.group)):
                    sock.sendall(b"-BUSY\r\n")
                    continue
                with self.lock:
                    self.ran.append(request)
                self.record(f"{self.name}: took {request['verb']} {request['id']} d={fields.get('d')}"
                            f" body={len(request['body'])}")
                self.work(request, sock.sendall)


def settings(**changes):
    """Settings of a small deployment, in the form of the first message: two initiators, three classes, two plans."""
    base = {
        "siblings": 2, "tick_ms": 2.0, "discovery": "pushed", "zones": ["a"],
        "classes": [
            {"name": "read", "aim_ms": 400, "hard_limit_ms": 2000, "worth": 2, "late_worth": 0.2, "effect": "read_like"},
            {"name": "write", "aim_ms": 600, "hard_limit_ms": 3000, "worth": 3, "late_worth": 0.1,
             "effect": "idempotency_key", "key_scope": "cell", "window_ms": 5000},
            {"name": "bulk", "aim_ms": 2000, "hard_limit_ms": 6000, "worth": 1, "late_worth": 0.3, "effect": "read_like"},
        ],
        "service_levels": [
            {"name": "base", "base_rate": 5.0, "guaranteed": 1.5, "ceiling_rate": 20.0, "limit_burst": 50.0, "tolerance": 8.0,
             "parts": 1.0, "value_factor": 0.7},
            {"name": "plus", "base_rate": 8.0, "guaranteed": 8.0, "ceiling_rate": 0.0, "limit_burst": 0.0, "tolerance": 0.0,
             "parts": 1.0, "value_factor": 0.9},
        ],
        "domain": {"largest": 8, "unit_mean": 2.0, "share_worth": 0.35, "idle_worth": 0.05, "young_limit": 34.0},
        "contract": {"grace_to_answer_ms": 8.0, "drain_grace_ms": 2000.0, "cold_from": 0.16, "warm_after_ms": 18000.0,
                     "tip_multiple": 3.0, "fall_ms": 3000.0, "ask_within_ms": 10000.0},
        "limits": {"attempts_cap": 4, "connect_timeout_ms": 250.0, "conn_idle_ms": 30000.0, "max_retry_after_ms": 500.0,
                   "retry_after": True, "may_cancel": True, "probes": True, "second_copies": True, "peers": False,
                   "multiplex": 32},
    }
    for name, value in changes.items():
        base[name] = {**base[name], **value} if isinstance(value, dict) else value
    return base


def configuration(name, listen, discovery, control=None, memory_mb=192, sockets=1024, cores=1.0, known=None, **changes):
    seed = "%016x" % int.from_bytes(os.urandom(8), "big")
    return {"name": name, "listen": listen, "discovery": discovery, "control": control, "seed": seed,
            "limits": {"cores": cores, "memory_mb": memory_mb, "sockets": sockets}, "known": known,
            "settings": settings(**changes)}


class Ids:
    """Ids of requests, pieces and keys: 16 hexadecimal digits, each used once."""

    def __init__(self):
        self.lock = threading.Lock()
        self.last = int.from_bytes(os.urandom(6), "big") << 16

    def next(self):
        with self.lock:
            self.last += 1
            return "%016x" % self.last


IDS = Ids()


def get(identity, shard, deadline_ms=2000, name="read", piece=None, plan="plus", units=2, volume="a1", hosts=1):
    fields = f"c={name},t={plan},d={deadline_ms},volume={volume:0>16},units={units},shard={shard},hosts={hosts}"
    return command([b"OBJ.GET", (piece or IDS.next()).encode(), identity.encode(), fields.encode()])


def put(identity, shard, body, deadline_ms=3000, name="write", piece=None, plan="plus", units=2, volume="a1", hosts=1):
    fields = (f"c={name},t={plan},d={deadline_ms},k={IDS.next()},volume={volume:0>16},units={units},shard={shard},"
              f"hosts={hosts}")
    return command([b"OBJ.PUT", (piece or IDS.next()).encode(), identity.encode(), fields.encode(), body])


def call_operator(record, control, line):
    """One call at the operators' door; returns the reply."""
    with socket.create_connection(pair(control), 2) as door:
        door.settimeout(3)
        door.sendall(line.encode() + b"\n")
        text = b""
        while not text.endswith(b"\n"):
            got = door.recv(1024)
            if not got:
                break
            text += got
    record(f"operator: {line} -> {text.decode('utf-8', 'replace').strip()}")
    return text.decode("utf-8", "replace")


def main(folder, case, seconds=110):
    """Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(folder)
    record(f"the disruption is {'on' if TROUBLE else 'off'}")

    def too_long(*_):
        record("the case took too long")
        raise CouldNotRun("it took too long")

    signal.signal(signal.SIGALRM, too_long)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))
    signal.alarm(seconds)
    platform = Platform(record)
    try:
        broken = case(record, platform)
        code = BROKEN if broken else HELD
        text = f"broken: {broken}" if broken else "held"
    except CouldNotRun as why:
        code, text = COULD_NOT_RUN, f"could not run: {why}"
    except Exception as why:  # noqa: BLE001 - an error of the script is no verdict
        code, text = COULD_NOT_RUN, f"could not run: {why!r}"
    if os.environ.get("REVIEW_KEEP"):
        for name in os.listdir(platform.folder):
            if name.endswith(".log"):
                shutil.copy(platform.path(name), os.environ["REVIEW_KEEP"])
    signal.alarm(0)
    platform.end()
    record(text)
    print(text)
    sys.stdout.flush()
    os._exit(code)
