"""One controller without I/O: what stands between the decisions and the transports."""
