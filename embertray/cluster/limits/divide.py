"""Who gets how much of a pool: by demand, the least wanted first, none more than it wants while another
lacks.
"""


def divide(pool, wants):
    """`wants`: member -> units. member -> units, `pool` in all if so much is wanted; what is left over goes
    to all alike, so that a rise finds room. Whole units; the same for the same input."""
    left, order, found = pool, sorted(wants, key=lambda name: (wants[name], name)), {}
    for n, name in enumerate(order):
        found[name] = min(wants[name], left // (len(order) - n))
        left -= found[name]
    if left > 0 and order:
        each, more = divmod(left, len(order))
        for n, name in enumerate(order):
            found[name] += each + (n < more)
    return found
