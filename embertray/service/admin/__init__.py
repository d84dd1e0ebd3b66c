"""HTTP servers and clients of the operators' pages, on h11."""
