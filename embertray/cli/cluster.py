"""`embertray cluster`: the cluster as a running controller sees it."""

import json

import anyio
import click
import h11

from embertray.common.net.exceptions import AddressError

from .operators import send_operator_request
from .standin import InputError


@click.group()
def cluster():
    """Inspect the cluster of running controllers."""


@cluster.command(name="status")
@click.option("--admin", required=True, help="Operators' address of a running controller.")
@click.option("--json", "as_json", is_flag=True)
def cluster_status(admin, as_json):
    """Show the members as one controller sees them.

    For each member its state and the age of its facts; for the controller itself the current bound of that
    age, and whether it considers itself cut off.
    """
    try:
        code, body = anyio.run(send_operator_request, admin, "GET", "/cluster")
        if code != 200:
            raise InputError(body.decode().strip())
        status = json.loads(body)
    except (OSError, AddressError, ValueError, h11.RemoteProtocolError) as error:
        raise InputError(f"{admin}: {error or type(error).__name__}") from None
    if as_json:
        click.echo(json.dumps(status))
        return
    click.echo(
        f"{status['me']} in {status['cluster']}: {'joined' if status['joined'] else 'joining'}"
        + (", BELIEVES ITSELF CUT OFF" if status["cut_off"] else "")
        + (f", ended: {status['ended']}" if status["ended"] else "")
    )
    click.echo(
        f"an entry reaches all members within {status['bound_s']} s; state {status['state_bytes']} of "
        f"{status['state_cap']} bytes, "
        f"{status['left_out']} left out; local health score {status['health']}"
    )
    for member in status["members"]:
        age = "no facts" if member["told_s"] is None else f"facts {member['told_s']:.1f} s old"
        click.echo(
            f"  {member['name']:16} {member['state']:8} {member['address']:22} heard "
            f"{member['heard_s']:.1f} s ago, {age}"
        )
    for refusal in status["refused"]:
        click.echo(f"  refused {refusal['times']} from {refusal['address']}: {refusal['why']}")
