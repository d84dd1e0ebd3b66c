"""The operators' HTTP, parsed by h11."""
