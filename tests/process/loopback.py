#!/usr/bin/env python3
"""Reserves a loopback network, 127.N.0.0/16, for one run of a test or of
tools/demo.

Usage: loopback.py prints N and holds the reservation until the end of its
standard input."""

import os
import socket
import sys

FIRST_NET = 100
NET_COUNT = 120
LOCK_PORT = 9999
STORE_PORT = 9000  # at 127.N.0.1 in each run


def _lock(net):
    """Socket that holds the reservation of NET, None if it is in use."""
    lock = socket.socket()
    try:
        lock.bind((f"127.{net}.255.1", LOCK_PORT))
        lock.listen(1)
        # A run that was killed may have left its stand-ins.
        with socket.socket() as store:
            store.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            store.bind((f"127.{net}.0.1", STORE_PORT))
        return lock
    except OSError:
        lock.close()
        return None


def reserve():
    """Return the number of a network that no other run uses, and the socket
    that holds its reservation until it is closed."""
    for k in range(NET_COUNT):
        net = FIRST_NET + (os.getpid() + k) % NET_COUNT
        lock = _lock(net)
        if lock:
            return net, lock
    raise AssertionError("no free loopback network")


def main():
    net, lock = reserve()
    with lock:
        print(net, flush=True)
        sys.stdin.read()


if __name__ == "__main__":
    main()
