"""Results of an experiment in an sqlite file: one row per run, including runs that died or hung."""

import json
import sqlite3

SCHEMA = """
create table if not exists experiment (name text, text text, commit_id text, version text, began text);
create table if not exists runs (key text primary key, levels text, arm text, seed integer, wall real,
    error text, kept integer, broken text, credit real, by_kind text, reqs integer, p50 real, p99 real,
    worst real, took text, line text);
"""


class Results:
    """A results file.

    Each row is written in its own transaction as its run ends: if the process is killed, no finished run is
    lost.

    Args:
        path: The file; it is created if it does not exist.
    """

    def __init__(self, path):
        self.db = sqlite3.connect(path)
        self.db.executescript(SCHEMA)

    def begin(self, experiment, commit, began):
        """Stores the experiment in a new file. Raises ValueError if the file holds another text."""
        row = self.db.execute("select text from experiment").fetchone()
        if row and row[0] != experiment.text:
            raise ValueError("the results file holds another experiment, or another version of this one")
        if not row:
            with self.db:
                self.db.execute(
                    "insert into experiment values (?,?,?,?,?)",
                    (experiment.name, experiment.text, commit, "1", began),
                )

    def finished_keys(self):
        """Returns the keys of all runs that have a row, also of failed ones."""
        return {key for (key,) in self.db.execute("select key from runs")}

    def add(self, run, result, error, wall_time_s):
        """Stores a run with its result, or with its error."""
        spread = result.get("spread_ms", {}) if result else {}
        row = (run.key, json.dumps(dict(run.levels)), run.arm, run.seed, wall_time_s, error)
        row += (
            (None,) * 10
            if error
            else (
                int(not result["broken"]),
                json.dumps(result["broken"]),
                result["credit"],
                json.dumps(result["credit_by_kind"]),
                result["reqs"],
                spread.get("p50"),
                spread.get("p99"),
                spread.get("max"),
                result.get("took"),
                json.dumps(result.get("line", [])),
            )
        )
        with self.db:
            self.db.execute("insert or replace into runs values (?,?,?,?,?,?,?,?,?,?,?,?,?,?,?,?)", row)

    def delete_failed_runs(self):
        """Deletes the rows of runs that died or hung, so that they are run again."""
        with self.db:
            self.db.execute("delete from runs where error is not null")

    def experiment_header(self):
        """Returns (text of the experiment, commit, time of its start); None for an empty file."""
        return self.db.execute("select text, commit_id, began from experiment").fetchone()

    def rows(self):
        """Yields each row as a dict, by run key: the order in which runs ended carries no information."""
        columns = (
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
        for row in self.db.execute(f"select {', '.join(columns)} from runs order by key"):
            row_by_name = dict(zip(columns, row, strict=False))
            row_by_name["levels"] = json.loads(row_by_name["levels"])
            for name, none in (("broken", {}), ("by_kind", {}), ("line", [])):
                row_by_name[name] = json.loads(row_by_name[name]) if row_by_name[name] else none
            yield row_by_name
