"""What travels to proxies and when, without I/O.

`outbox` turns orders into messages, `pacer` lets them leave at the channel's rate, `send_buffer` and
`stall_watch` bound slow proxies, `admission` admits their streams, `budget` reckons what a channel can carry.
"""
