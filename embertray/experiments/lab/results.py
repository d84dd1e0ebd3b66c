"""One sqlite file of results: a row a run, also for one that died or hung; with commit, settings and seed."""

import json
import sqlite3

SCHEMA = """
create table if not exists experiment (name text, text text, commit_id text, version text, began text);
create table if not exists runs (key text primary key, levels text, arm text, seed integer, wall real,
    error text, kept integer, broken text, credit real, by_kind text, reqs integer, p50 real, p99 real,
    worst real, took text, line text);
"""


class Results:
    """Rows are written as runs end, each in a transaction: a kill loses no finished run."""

    def __init__(self, path):
        self.db = sqlite3.connect(path)
        self.db.executescript(SCHEMA)

    def begin(self, experiment, commit, began):
        """Raises ValueError if the file belongs to another experiment's text."""
        row = self.db.execute("select text from experiment").fetchone()
        if row and row[0] != experiment.text:
            raise ValueError("the results file belongs to another experiment, or to another text of this one")
        if not row:
            with self.db:
                self.db.execute(
                    "insert into experiment values (?,?,?,?,?)",
                    (experiment.name, experiment.text, commit, "1", began),
                )

    def done(self):
        return {key for (key,) in self.db.execute("select key from runs")}

    def add(self, run, found, error, wall):
        spread = found.get("spread_ms", {}) if found else {}
        row = (run.key, json.dumps(dict(run.levels)), run.arm, run.seed, wall, error)
        row += (
            (None,) * 10
            if error
            else (
                int(not found["broken"]),
                json.dumps(found["broken"]),
                found["credit"],
                json.dumps(found["credit_by_kind"]),
                found["reqs"],
                spread.get("p50"),
                spread.get("p99"),
                spread.get("max"),
                found.get("took"),
                json.dumps(found.get("line", [])),
            )
        )
        with self.db:
            self.db.execute("insert or replace into runs values (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)", row)

    def forget_errors(self):
        with self.db:
            self.db.execute("delete from runs where error is not null")

    def text(self):
        return self.db.execute("select text, commit_id, began from experiment").fetchone()

    def rows(self):
        """Dicts, in the order of their keys: the order in which runs ended says nothing."""
        names = (
            "key",
            "levels",
            "arm",
            "seed",
            "wall",
            "error",
            "kept",
            "broken",
            "credit",
            "by_kind",
            "reqs",
            "p50",
            "p99",
            "worst",
            "took",
            "line",
        )
        for row in self.db.execute(f"select {', '.join(names)} from runs order by key"):
            found = dict(zip(names, row, strict=False))
            found["levels"] = json.loads(found["levels"])
            for name, none in (("broken", {}), ("by_kind", {}), ("line", [])):
                found[name] = json.loads(found[name]) if found[name] else none
            yield found
