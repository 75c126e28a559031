"""Free ports that no outgoing connection takes while a process is restarted."""

import itertools
import os
import socket

# Below the ports that Linux gives to outgoing connections by default. Cases that run at the same
# time take theirs from blocks of their own.
FIRST_PORT, BLOCKS, BLOCK_PORTS = 20_000, 60, 200
ports = itertools.count(FIRST_PORT + os.getpid() % BLOCKS * BLOCK_PORTS)


def free_port():
    while True:
        port = next(ports)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port
