"""Writes site descriptions for processes: a sample with other addresses and settings."""

from lxml import etree

# setting -> (element, attribute) of the description, for settings that a day may change in processes too
FACT_ATTRIBUTES = {
    "channel_rate": ("channel", "lines-per-second"),
    "pending_max": ("channel", "lines-waiting"),
    "messages_max": ("channel", "messages"),
    "reports_rate": ("reports", "lines-per-second"),
}


def write_site_description(sample, path, controllers, inventory, keep=None, period=None, facts=None):
    """Writes a site description that differs from a sample.

    Args:
        sample: path of the description to start from.
        path: where it is written; also returned.
        controllers: rows of name, zone and addresses (listen, admin, cluster or None).
        inventory: address of the endpoint list.
        keep: folder of the snapshots; None for the sample's.
        period: the cluster's probe period, in the form of the description; None: there is no cluster.
        facts: setting of FACT_ATTRIBUTES -> its value.
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
