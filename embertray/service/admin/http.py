"""Operators' HTTP/1.1 on loopback: readiness, metrics, tables, the channel; drain and pace. One request a
connection.

GET /live /ready /metrics /tables /channel /proxies /level /cluster /control /control/key?key=K; POST /drain,
POST /pace?share=0.25 (runs the channel slower), POST /set-level?pin=essential (or release=1, forbid=NAME,
allow=NAME).
"""

from urllib.parse import parse_qs, urlsplit

import msgspec

from .server import serve_request, text


async def serve_admin(service, stream):
    """Answers one request. A malformed one gets 400 and one line."""
    await serve_request(stream, lambda request, body: answer(service, request))


def answer(service, request):
    """(status, content type, body)"""
    parts = urlsplit(request.target.decode("ascii", "replace"))
    method, query = request.method.decode(), parse_qs(parts.query, keep_blank_values=True)
    found = ROUTES.get(parts.path)
    if not found:
        return 404, "text/plain", b"no such page; there are " + " ".join(ROUTES).encode() + b"\n"
    wanted, page = found
    if method != wanted:
        return 405, "text/plain", f"{parts.path} takes {wanted}\n".encode()
    return page(service, query)


def json(what):
    return 200, "application/json", msgspec.json.encode(what) + b"\n"


def ready(service, _):
    if service.admission.draining is not None:
        return text("draining\n", 503)
    why = service.trust.describe(service.clock.now())
    return text(f"ready: {why}\n") if service.trust.backends else text(f"{why}\n", 503)


def start(service, _):
    trust, now = service.trust, service.clock.now()
    return json(
        {
            "why": trust.describe(now),
            "settled": trust.is_settled(now),
            "epoch": trust.epoch,
            "known": len(trust.backends),
            "refuted": sorted(b for b, k in trust.backends.items() if k.refuted),
            "missing": list(trust.losses.missing),
            "left_with_their_tables": sorted(service.frontend.deferred_joins),
            "saves": service.counters.saves,
            "save_fails": service.counters.save_fails,
        }
    )


def cluster(service, _):
    if service.cluster is None:
        return text("no cluster: the site has no <cluster>\n", 404)
    return json(service.cluster.status())


NO_CONTROL = "no control plane: the site has no <control>\n"


def control(service, _):
    if service.control is None:
        return text(NO_CONTROL, 404)
    return json(service.control.status())


def control_key(service, query):
    """What this process holds for a key."""
    if service.control is None:
        return text(NO_CONTROL, 404)
    if not query.get("key", [""])[0]:
        return text("key: the name of a key is wanted\n", 400)
    from .control import value_page

    client = service.control
    return value_page(query["key"][0], client.get, client.status().age_s)


def metrics(service, _):
    """Prometheus' text format."""
    it, rows = service.core, []

    def row(name, kind, value, labels=""):
        if not labels or not any(r.startswith(f"# TYPE embertray_{name} ") for r in rows):
            rows.append(f"# TYPE embertray_{name} {kind}")
        rows.append(f"embertray_{name}{labels} {value}")

    row("proxies", "gauge", len(service.streams))
    row("backends_listed", "gauge", len(it.state))
    row("channel_lines_waiting", "gauge", it.pacer.lines_waiting)
    row("channel_lines_peak", "gauge", it.pacer.lines_peak)
    row("channel_pace", "gauge", it.pacer.pace)
    row("steps_total", "counter", it.steps)
    row("events_total", "counter", it.events)
    row("report_lines_waiting", "gauge", len(it.intake.waiting))
    row("report_lines_total", "counter", it.intake.passed)
    row("report_lines_merged_total", "counter", it.intake.merged)
    held = service.memory()
    for account in held["purposes"]:
        labels = f'{{purpose="{account["purpose"]}"}}'
        for key in ("bytes", "entries", "peak", "cap"):
            row(f"memory_{key}", "gauge", account[key], labels)
        row("memory_cap_acts_total", "counter", account["acts"], labels)
        row("memory_cap_done_total", "counter", account["done"], labels)
    for key in ("resident", "at_start", "unaccounted"):
        row(f"memory_{key}_bytes", "gauge", held[key])
    row("service_level", "gauge", it.ladder.level)
    row("service_level_changes_total", "counter", it.ladder.changes)
    row("lost_credit_share", "gauge", "NaN" if it.ladder.lost is None else round(it.ladder.lost, 4))
    row("report_lines_unknown_total", "counter", it.intake.unknown)
    row("report_lines_dropped_total", "counter", it.intake.dropped)
    for name, count in service.counters.by_name().items():
        row(f"{name}_total", "counter", count)
    for code, count in sorted(service.faults.items()):
        row("faults_total", "counter", count, f'{{code="{code}"}}')
    if service.cluster is not None:
        status = service.cluster.status()
        for state in ("alive", "suspect", "dead", "left"):
            row(
                "cluster_members",
                "gauge",
                sum(m["state"] == state for m in status["members"]),
                f'{{state="{state}"}}',
            )
        for member in status["members"]:
            if member["told_s"] is not None:
                row("cluster_told_age_seconds", "gauge", member["told_s"], f'{{member="{member["name"]}"}}')
        for key in ("bound_s", "cut_off", "health", "state_bytes", "left_out"):
            row(f"cluster_{key}", "gauge", float(status[key]))
        for key in (
            "sent",
            "received",
            "bytes_sent",
            "unreadable",
            "exchanges",
            "exchanges_failed",
            "state_held_back",
        ):
            row(f"cluster_{key}_total", "counter", status[key])
    if service.control is not None:
        from .control import subscriber_metrics

        rows += subscriber_metrics(service.control.status())
    return text("\n".join(rows) + "\n")


def memory(service, _):
    return json(service.memory())


def tables(service, _):
    return json(
        [
            {
                "table": table.external_id,
                "proxies": [proxy.external_id for proxy in tab.proxies],
                "lines": {backend.external_id: w for backend, w in tab.lines.items()},
                "levels": {
                    kind.external_id: {"level": level, "again": again}
                    for kind, (level, again) in tab.levels.items()
                },
            }
            for table, tab in service.core.outbox.tables.items()
        ]
    )


def channel(service, _):
    pacer = service.core.pacer
    return json(
        {
            "lines_waiting": pacer.lines_waiting,
            "peak": pacer.lines_peak,
            "limit": service.site.pending_max,
            "messages_waiting": len(pacer.queue),
            "left": pacer.departed,
            "pace": pacer.pace,
            "rate": pacer.rate,
        }
    )


def proxies(service, _):
    return json(
        [
            {
                "proxy": s.name,
                "zone": s.hello.zone,
                "open_marks": len(s.session.open),
                "untaken_bytes": s.send_buffer.bytes,
            }
            for s in service.streams.values()
        ]
    )


def drain(service, _):
    service.drain()
    return text("draining\n", 202)


def level(service, _):
    return json(service.core.ladder.status(service.clock.now()))


def set_level(service, query):
    """pin=NAME, release=, forbid=NAME, allow=NAME"""
    ladder = service.core.ladder
    acts = {
        "pin": ladder.pin,
        "release": lambda _: ladder.release(),
        "forbid": ladder.forbid,
        "allow": lambda name: ladder.forbid(name, False),
    }
    if not query or any(name not in acts for name in query):
        return text(f"one of {', '.join(acts)} is wanted\n", 400)
    try:
        for name, values in query.items():
            acts[name](values[0])
    except ValueError as wrong:
        return text(f"{wrong}\n", 400)
    service.wake()
    return level(service, query)


def pace(service, query):
    try:
        service.core.pacer.set_pace(service.clock.now(), float(query.get("share", [""])[0]))
    except ValueError:
        return text("share: a number over 0 and 1 at most is wanted\n", 400)
    service.wake()
    return text(f"pace {service.core.pacer.pace}\n")


ROUTES = {
    "/live": ("GET", lambda *_: text("live\n")),
    "/ready": ("GET", ready),
    "/metrics": ("GET", metrics),
    "/memory": ("GET", memory),
    "/tables": ("GET", tables),
    "/start": ("GET", start),
    "/channel": ("GET", channel),
    "/proxies": ("GET", proxies),
    "/drain": ("POST", drain),
    "/pace": ("POST", pace),
    "/level": ("GET", level),
    "/set-level": ("POST", set_level),
    "/cluster": ("GET", cluster),
    "/control": ("GET", control),
    "/control/key": ("GET", control_key),
}
