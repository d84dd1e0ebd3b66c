"""The channel: builds, paces and bounds the messages to the proxies, without I/O.

`outbox` turns orders into messages, `pacer` releases them at the channel's rate, `send_buffer` and
`stall_watch` detect slow proxies, `admission` admits their streams, `budget` calculates what a channel can
carry.
"""
