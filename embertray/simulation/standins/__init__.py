"""Stand-ins for backends, plain proxies, clients, the inventory and the platform's services, for tests.

They communicate with the controller and with each other over streams only, and use none of its internals.
"""
