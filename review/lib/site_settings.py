"""A small deployment like the site mvua-dispatch: configuration and requests."""

from client import request_bytes

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"


class Site:
    """Routes of the deployment, with the requests that match them."""

    BOOK = "truck-book"
    READ = "status-read"
    BRIEF = "job-brief"

    def configuration(self, version=4):
        """The operator's configuration."""
        def route(name, prefix, kind, service, timeout_ms, goal_ms, attempts, priority):
            fields = {"name": name, "host": HOST, "path_prefix": prefix, "kind": kind,
                      "timeout_ms": timeout_ms, "goal_ms": goal_ms, "priority": priority,
                      "attempts": attempts, "service": service, "public": False}
            if kind == "stream":
                fields.update(sticky=True, resumable=True, gap_goal_ms=700)
            return fields
        return {
            "version": version,
            "routes": [
                route("r-brief", "/brief/", "stream", "brief-llm", 25_000, 4_500, 5, 1),
                route("r-book", "/book/", "non_idempotent", "dispatch-app", 800, 150, 1, 2),
                route("r-read", "/read/", "idempotent", "dispatch-app", 800, 150, 2, 2),
            ],
            "services": [
                {"name": "brief-llm", "max_conns": 250, "engine": {"backups": True}},
                {"name": "dispatch-app", "max_conns": 110},
            ],
            "limits": {"max_header_bytes": 16_384, "max_body_bytes": 4_194_304,
                       "header_timeout_ms": 2_000, "idle_timeout_ms": 15_000},
            "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
        }

    def request(self, kind, request_id):
        """Bytes of a request, and the time that the consumer waits for its answer."""
        if kind == self.BOOK:
            data = request_bytes("POST", "/book/1", request_id, HOST, KEY, 1500, body=b"x" * 600)
            return data, 1.5
        if kind == self.READ:
            return request_bytes("GET", "/read/1", request_id, HOST, KEY, 1500), 1.5
        # The sheet: 200 shared and 5,000 tokens in, 140 events of 8 tokens out.
        headers = [("X-Model", "m"), ("X-Token-Count", "5200,1120"),
                   ("X-Prefix-Hash", f"5c1e07a2:200,{request_id[-8:]}:5000")]
        body = b"p" * 5000
        data = request_bytes("POST", "/brief/1", request_id, HOST, KEY, 25_000, headers, body)
        # A consumer leaves after a gap of four times the objective.
        return data, 18.0
