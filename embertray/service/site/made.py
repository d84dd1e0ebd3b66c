"""Site files made from a sample, for measurements and for churn: one controller at addresses of the system's
choice.
"""

from pathlib import Path

from lxml import etree

from .site import HERE as SITES


def describe(folder, inventory, **changes):
    """A site file for one controller: the sample 'pushed' with a channel and reports of the given width."""
    tree = etree.parse(str(SITES / "samples" / "pushed.xml"))
    root = tree.getroot()
    root.find("inventory").set("address", inventory)
    root.find("channel").set("lines-per-second", str(changes.get("rate", 10**6)))
    root.find("channel").set("lines-waiting", str(changes.get("waiting", 2 * 10**6)))
    root.find("proxies").set("expected", str(changes.get("proxies", 1000)))
    root.find("backends").set("expected", str(changes.get("backends", 500)))
    root.find("reports").set("lines-per-second", str(changes.get("reports", 0)))
    for element in root.find("controllers"):
        element.set("listen", "127.0.0.1:0")
        element.set("admin", "127.0.0.1:0")
    path = Path(folder) / "site.xml"
    tree.write(str(path))
    return path
