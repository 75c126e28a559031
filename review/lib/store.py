"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import base64
import json
import threading
import time
import urllib.parse

from http_server import Server, response

PAGE_ITEMS = 500


class Store:
    """Key-value store with revisions, conditional writes, watches and leases."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.log = []
        self.revision = 10
        self.leases = {}
        self.next_lease = 100
        # "ok", or "busy" while the store is down and answers 503.
        self.mode = "ok"
        self.calls = 0
        self.server = Server(self._handle)
        self.address = self.server.address
        threading.Thread(target=self._expire_leases, daemon=True).start()

    # The operator's and the workers' side.

    def put(self, key, document, lease=0):
        """Writes a JSON document; returns the revision."""
        with self.changed:
            return self._put(key, json.dumps(document).encode(), lease)

    def remove(self, key):
        """Removes a key."""
        with self.changed:
            self._remove(key)

    def document(self, key):
        """The JSON document under a key, or None."""
        with self.changed:
            item = self.items.get(key)
            return None if item is None else json.loads(item["value"])

    def go_down(self):
        """Answers 503 to every call from now on; waiting watches are cut."""
        with self.changed:
            self.mode = "busy"
            self.changed.notify_all()

    def lapse(self, prefix):
        """Leases run out while the store is down: removes the keys with a prefix."""
        with self.changed:
            for key in [it for it in self.items if it.startswith(prefix)]:
                self._remove(key)

    def lapse_leases(self):
        """All leases run out while the store is down."""
        with self.changed:
            for lease in list(self.leases):
                self._end_lease(lease)

    def come_back(self):
        """Serves calls again."""
        with self.changed:
            self.mode = "ok"
            self.changed.notify_all()

    # Internals; the caller holds the lock.

    def _put(self, key, value, lease):
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        self.items[key] = {"value": value, "rev": self.revision, "created": created, "lease": lease}
        self.log.append((self.revision, key, value, lease, created))
        self.changed.notify_all()
        return self.revision

    def _remove(self, key):
        if key in self.items:
            del self.items[key]
            self.revision += 1
            self.log.append((self.revision, key, None, 0, 0))
            self.changed.notify_all()

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [it for it, item in self.items.items() if item["lease"] == lease]:
            self._remove(key)

    def _expire_leases(self):
        while True:
            time.sleep(0.1)
            with self.changed:
                if self.mode != "ok":
                    continue
                now = time.monotonic()
                for lease, (ends_at, _) in list(self.leases.items()):
                    if ends_at < now:
                        self._end_lease(lease)

    def _item(self, key):
        item = self.items[key]
        return encode_item(key, item["value"], item["rev"], item["created"], item["lease"])

    # The calls of the system.

    def _handle(self, request, connection):
        url = urllib.parse.urlsplit(request.target)
        query = {name: values[0] for name, values in
                 urllib.parse.parse_qs(url.query, keep_blank_values=True).items()}
        with self.changed:
            self.calls += 1
            status, document = self._respond(request, url.path, query)
        body = json.dumps(document).encode()
        connection.sendall(response(status, [("Content-Type", "application/json")], body))
        return True

    def _respond(self, request, path, query):
        if self.mode != "ok":
            return 503, {}
        if path == "/v1/kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"store_revision": self.revision}
            return 200, {**self._item(key), "store_revision": self.revision}
        if path == "/v1/kv-range":
            return self._list(query)
        if path == "/v1/kv-watch":
            return self._watch(query)
        if path == "/v1/kv-txn":
            return self._write(json.loads(request.body))
        if path == "/v1/kv-lease":
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            ttl_ms = json.loads(request.body)["ttl_ms"]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl_ms = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl_ms / 1000, ttl_ms)
            return 200, {"ttl_ms": ttl_ms}
        if path.startswith("/v1/kv-lease-end/"):
            self._end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def _list(self, query):
        prefix, after = query.get("path_prefix", ""), query.get("after_rev", "")
        keys = sorted(it for it in self.items if it.startswith(prefix) and it > after)
        page = [self._item(key) for key in keys[:PAGE_ITEMS]]
        return 200, {"items": page, "has_more": len(keys) > PAGE_ITEMS,
                     "store_revision": self.revision}

    def _watch(self, query):
        prefix, after = query.get("path_prefix", ""), int(query["after_rev"])
        until = time.monotonic() + min(int(query["wait_ms"]), 30_000) / 1000
        while True:
            if self.mode != "ok":
                return 503, {}
            events = [encode_event(*it) for it in self.log
                      if it[0] > after and it[1].startswith(prefix)]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            self.changed.wait(left)

    def _write(self, write):
        for row in write.get("if_rev", []):
            item = self.items.get(row["key"])
            if row["rev"] != (item["rev"] if item else 0):
                rows = [it["key"] for it in write["if_rev"]]
                return 412, {"items": [self._item(key) if key in self.items
                                       else {"key": key, "rev": 0} for key in rows]}
        keys = [it["key"] for it in write.get("puts", [])] + write.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        for put in write.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in write.get("puts", []):
            self._put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in write.get("remove", []):
            self._remove(key)
        return 200, {"rev": self.revision}


def encode_item(key, value, revision, created, lease):
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "rev": revision, "created": created, "lease": lease}


def encode_event(revision, key, value, lease, created):
    if value is None:
        return {"key": key, "rev": revision, "removed": True}
    return encode_item(key, value, revision, created, lease)
