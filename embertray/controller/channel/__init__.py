"""What travels to proxies and when: orders to messages, the paced channel, bounds for slow proxies; no
I/O.
"""
