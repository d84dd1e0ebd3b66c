"""The platform's protocol as a sans-I/O library, like h11: bytes and time in, typed events or decisions out.

`wire` defines the names on the wire, `limits` the timeouts and size limits, `exceptions` the errors.
"""
