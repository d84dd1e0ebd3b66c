"""What is decided across the controllers of a site, without I/O; on the cluster. `run` on the operators'
platform imports nothing of it.
"""
