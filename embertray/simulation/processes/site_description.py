"""A site's description as each process is given it: a sample with other addresses and facts."""

from lxml import etree

# a fact's place in the description, for those that a day's text may change in both ways of playing
FACT_ATTRIBUTES = {
    "channel_rate": ("channel", "lines-per-second"),
    "pending_max": ("channel", "lines-waiting"),
    "messages_max": ("channel", "messages"),
    "reports_rate": ("reports", "lines-per-second"),
}


def write_site_description(sample, path, controllers, inventory, keep=None, period=None, facts=None):
    """Writes a description.

    Args:
        sample: path of the description to begin with.
        path: where it is written; also returned.
        controllers: rows of name, zone and addresses (listen, admin, cluster or None).
        inventory: address of the endpoint list.
        keep: folder of the snapshots, None for the sample's.
        period: of the cluster, as in the description; None: there is no cluster.
        facts: name -> value of the PLACES to change.
    """
    tree = etree.parse(str(sample))
    root = tree.getroot()
    list_element = root.find("inventory")
    list_element.set("address", inventory)
    if keep is not None:
        list_element.set("keep", str(keep))
    parent = root.find("controllers")
    for old in list(parent):
        parent.remove(old)
    for name, zone, listen, admin, cluster in controllers:
        etree.SubElement(
            parent,
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
        parent.addprevious(etree.Element("cluster", period=period))
    for key, value in (facts or {}).items():
        for element in root.iter():
            if FACT_ATTRIBUTES.get(key, (None, None))[0] == element.tag:
                element.set(FACT_ATTRIBUTES[key][1], value)
    tree.write(str(path))
    return path
