"""Reading what `/ops/group` tells."""


def states(said):
    return {one["name"]: one for one in said["members"]}
