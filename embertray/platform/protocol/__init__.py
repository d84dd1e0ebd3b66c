"""The platform's protocol without I/O, in the manner of h11: bytes and time in, typed events or verdicts out.

Words of the wire stand in `wire`, times and caps in `limits`, errors in `exceptions`.
"""
