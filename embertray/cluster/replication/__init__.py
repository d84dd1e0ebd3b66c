"""Replicated configuration: keyed, versioned entries kept by a few replicas and followed by many subscribers.

Replicas elect a leader and commit each write on a majority (terms, votes and the commit rule of Raft, Ongaro
and Ousterhout 2014). A subscriber follows one replica and holds the newest committed entry of each key. The
modules here do no I/O: time is handed in as whole nanoseconds, chance is a seeded generator.
docs/design/control.md
"""
