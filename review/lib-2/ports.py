"""Free ports that no outgoing connection takes while a process is restarted."""

import random
import socket

# Below the ports that Linux gives to outgoing connections by default.
PORTS = range(20_000, 32_000)
taken = set()


def free_port():
    while True:
        port = random.choice(PORTS)
        if port in taken:
            continue
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        taken.add(port)
        return port
