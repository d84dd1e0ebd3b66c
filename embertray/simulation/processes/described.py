"""A site's description as each process of a rig is given it: a sample with other addresses and facts."""

from lxml import etree

# a fact's place in the description, for those that a day's text may change in both ways of playing
PLACES = {
    "channel_rate": ("channel", "lines-per-second"),
    "pending_max": ("channel", "lines-waiting"),
    "messages_max": ("channel", "messages"),
    "reports_rate": ("reports", "lines-per-second"),
}


def describe(sample, path, controllers, inventory, keep=None, period=None, facts=None):
    """Writes it to `path`. `controllers`: rows of name, zone and addresses (listen, admin, cluster or None);
    `period`: of the cluster, as in the description; none without."""
    tree = etree.parse(str(sample))
    root = tree.getroot()
    at = root.find("inventory")
    at.set("address", inventory)
    if keep is not None:
        at.set("keep", str(keep))
    there = root.find("controllers")
    for old in list(there):
        there.remove(old)
    for name, zone, listen, admin, cluster in controllers:
        etree.SubElement(
            there,
            "controller",
            name=name,
            zone=zone,
            listen=listen,
            admin=admin,
            **({"cluster": cluster} if cluster else {}),
        )
    if (old := root.find("cluster")) is not None:
        root.remove(old)
    if period:
        there.addprevious(etree.Element("cluster", period=period))
    for key, value in (facts or {}).items():
        for element in root.iter():
            if PLACES.get(key, (None, None))[0] == element.tag:
                element.set(PLACES[key][1], value)
    tree.write(str(path))
    return path
