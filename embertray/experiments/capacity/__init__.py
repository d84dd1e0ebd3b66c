"""What each role costs at a target size, computed from measured slopes."""
