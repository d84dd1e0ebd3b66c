"""Replicated configuration: versioned keys, kept by a few replicas and followed by many subscribers.

Replicas elect a leader and commit each write on a majority (terms, votes and the commit rule of Raft, Ongaro
and Ousterhout 2014). A subscriber follows one replica and holds the newest committed entry of each key. The
modules here do no I/O: time is passed in as whole nanoseconds of a monotonic clock, randomness as a seeded
generator. Sockets and files are in `link/`.

Writes: only the leader of the current term accepts them (`leader`), and only while a majority has confirmed
it within the minimum election timeout (1.5 s, `timing`). A write is committed, and its caller notified, once
a majority has it on disk.

Failover: a follower that receives no heartbeat for its randomized election timeout (1.5 to 3 s, `follower`)
becomes a candidate (`candidate`). It wins the next term if a majority grants it votes; they grant none to a
candidate whose log lacks a committed write. Until then no write is accepted, and subscribers keep what they
hold while its age grows. A caller that does not know the outcome of its write repeats it with the same
request id, which takes effect only once. A replica that lost its disk has to be readmitted before it votes
(`recovery`).

Design: docs/design/control.md
"""
