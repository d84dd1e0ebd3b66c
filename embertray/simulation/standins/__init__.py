"""Stand-ins: backends, plain proxies, clients and an inventory, made for tests and rehearsals; and their
nets.

They speak to the controller and to each other over streams only, and know nothing of the controller's inside.
"""
