"""The daemon: its task groups, the operators' HTTP, and the description of a site."""
