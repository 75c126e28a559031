"""Store that comes back from a copy some seconds old, as the users' pages describe a drill."""

import asyncio
import base64
import copy
import json

from http1 import encode_response, read_request
from store import Store

COPY_INTERVAL_S = 0.5
COPIES = 6
# Time after which the operator and the workers have written again what they wrote.
OPERATOR_REWRITES_S = 2.0
WORKERS_REWRITE_S = 1.2


class RestoredStore(Store):
    """A store whose answers state its era, and which keeps copies of itself."""

    def __init__(self, record):
        super().__init__(record)
        self.era = 1
        self.copies = []
        self.copying = None

    async def start(self):
        await super().start()
        self.copying = asyncio.ensure_future(self._copy())

    async def _copy(self):
        while True:
            state = (copy.deepcopy(self.items), self.revision, dict(self.leases))
            self.copies = (self.copies + [state])[-COPIES:]
            await asyncio.sleep(COPY_INTERVAL_S)

    async def restore(self):
        """Goes back to the oldest copy. Returns once all that others wrote is written again."""
        written = {key: item for key, item in self.items.items() if item["lease"] == 0}
        self.items, self.revision, self.leases = self.copies[0]
        self.events = [it for it in self.events if it["rev"] <= self.revision]
        self.era += 1
        self.copies = []
        self._notify()
        await asyncio.sleep(WORKERS_REWRITE_S)
        self._write_again(written, "servers/")
        await asyncio.sleep(OPERATOR_REWRITES_S - WORKERS_REWRITE_S)
        self._write_again(written, "op/")

    def _write_again(self, written, prefix):
        for key, item in written.items():
            if key.startswith(prefix):
                self._put(key, base64.b64decode(item["value"]), 0)
        self._notify()

    async def _watch(self, query):
        if int(query["after_rev"]) > self.revision:
            return 410, {}
        return await super()._watch(query)

    async def _serve(self, reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    return
                status, document = await self._answer(request)
                headers = {"Content-Type": "application/json", "Store-Era": str(self.era)}
                body = json.dumps(document).encode()
                writer.write(encode_response(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            return
        finally:
            writer.close()
