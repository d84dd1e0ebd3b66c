"""Counters of the daemon since its start, for the metrics page."""

from dataclasses import asdict, dataclass


@dataclass
class ServiceCounters:
    """Counters; a field's name is its metric's, `embertray_NAME_total`.

    Attributes:
        joins: Proxies that joined.
        leaves: Proxies that left, for whatever reason.
        cuts: Streams that were cut.
        refused: Streams that were ended because the peer violated the protocol.
        messages: Messages sent to proxies.
        list_news: Updates of the endpoint list.
        list_breaks: Connections to the inventory that broke or could not be made.
        saves: Snapshots written.
        save_fails: Snapshots that could not be written.
    """

    joins: int = 0
    leaves: int = 0
    cuts: int = 0
    refused: int = 0
    messages: int = 0
    list_news: int = 0
    list_breaks: int = 0
    saves: int = 0
    save_fails: int = 0

    def by_name(self):
        """Returns name -> count, in the order of the metrics page."""
        return asdict(self)
