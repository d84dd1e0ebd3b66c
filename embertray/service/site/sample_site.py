"""Writes descriptions derived from a sample, with other sizes and with ports that the system chooses."""

from pathlib import Path

from lxml import etree

from .schema import SITE_FOLDER

SAMPLE = SITE_FOLDER / "samples" / "pushed.xml"
ANY_FREE_PORT = "127.0.0.1:0"
DEFAULT_CHANNEL_RATE = 10**6  # lines a second; high enough not to limit anything
DEFAULT_QUEUE_LIMIT = 2 * 10**6  # lines


def write_sample_site(folder, inventory, **changes):
    """Writes the sample 'pushed' with other sizes and an inventory, its controllers at any free ports.

    Args:
        folder: Where the file is written.
        inventory: The inventory's address.
        changes: rate (lines a second of the channel), waiting (lines that may wait in it), proxies, backends
            (how many), reports (lines a second; 0: no limit).

    Returns:
        Path of the file.
    """
    tree = etree.parse(str(SAMPLE))
    root = tree.getroot()
    root.find("inventory").set("address", inventory)
    root.find("channel").set("lines-per-second", str(changes.get("rate", DEFAULT_CHANNEL_RATE)))
    root.find("channel").set("lines-waiting", str(changes.get("waiting", DEFAULT_QUEUE_LIMIT)))
    root.find("proxies").set("expected", str(changes.get("proxies", 1000)))
    root.find("backends").set("expected", str(changes.get("backends", 500)))
    root.find("reports").set("lines-per-second", str(changes.get("reports", 0)))
    for element in root.find("controllers"):
        element.set("listen", ANY_FREE_PORT)
        element.set("admin", ANY_FREE_PORT)
    path = Path(folder) / "site.xml"
    tree.write(str(path))
    return path
