"""Processes of one site that know of each other: who is there, what each tells. Off without a <cluster> in
the site.
"""
