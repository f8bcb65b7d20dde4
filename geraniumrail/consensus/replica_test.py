"""Guards the guarantees of the replicated log against crashes, cuts and lost disks."""

import unittest

from geraniumrail.consensus.testing import Cluster


class ReplicaTest(unittest.IsolatedAsyncioTestCase):
    async def test_commits_survive_the_loss_of_the_leader(self):
        """A committed command must not be lost when the leader dies."""
        cluster = await Cluster.create(3)
        first = [b'%d' % number for number in range(20)]
        for command in first:
            await cluster.propose(command)
        await cluster.crash(cluster.leader())
        await cluster.propose(b'after')
        expected = [*first, b'after']
        survivors = [cluster.machines_by_name[name] for name in cluster.replicas_by_name]
        await cluster.until(lambda: all(one.commands == expected for one in survivors))
        await cluster.stop()


if __name__ == '__main__':
    unittest.main()
