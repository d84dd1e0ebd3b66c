"""embertray: a controller that publishes routing tables to a fleet of plain proxies."""
