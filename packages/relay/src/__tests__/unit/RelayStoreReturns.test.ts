import { expect } from 'chai';
import type { Millis } from '@skylarksail/core/CoreTypes';
import type { ReturnBed } from './RelayReturnBed.js';
import { createReturnBed } from './RelayReturnBed.js';

/** Time in which a change must be in force. */
const IN_FORCE_BOUND: Millis = 2000;
/** Time in which what lives registers again after an outage, plus that of a change. */
const REGISTER_BOUND: Millis = 4000;
/** Time in which a domain must have one holder again: a lost lease, its safety margin, and the turns of the others. */
const PLACED_BOUND: Millis = 8000;
const SETTLE_TIME: Millis = 8000;
/** How long the store is away before it comes back from a copy. */
const AWAY: Millis = 300;
/** Fleets in which all watch the store, and in which most learn from others. */
const FLEETS = [7, 24];

async function startFleet(instances: number): Promise<ReturnBed> {
  const bed = createReturnBed(instances);
  ['s1', 's2', 's3'].forEach((id) => bed.putServer(id, 'live'));
  await bed.advance(SETTLE_TIME);
  return bed;
}

/** Takes a copy, and lets the store lose changes of `seenFor` after it. */
async function returnFromCopy(
  bed: ReturnBed,
  change: () => void,
  seenFor: Millis = 0,
): Promise<void> {
  const copy = bed.store.takeCopy();
  change();
  await bed.advance(seenFor);
  bed.store.setAvailable(false);
  await bed.advance(AWAY);
  bed.store.returnFrom(copy);
  bed.store.setAvailable(true);
}

describe('Sync with a store that comes back from a copy', () => {
  for (const instances of FLEETS) {
    describe(`with ${instances} instances`, () => {
      it('brings a change that is written again in force in time, though its revision was given out before', async () => {
        // Guards against changes that are dropped as older, since their revisions count from the copy again.
        const bed = await startFleet(instances);
        await returnFromCopy(bed, () => {
          ['s4', 's5', 's6'].forEach((id) => bed.putServer(id, 'live'));
          bed.putVersion(2);
        });
        await bed.advance(30);
        bed.putVersion(2);
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listOutdated(2)).to.deep.equal([]);
      });

      it('brings changes in force in time when the new revisions pass the old ones at once', async () => {
        // Guards against a watch that goes on from a revision of the history that is gone.
        const bed = await startFleet(instances);
        await returnFromCopy(
          bed,
          () => ['s4', 's5', 's6', 's7'].forEach((id) => bed.putServer(id, 'live')),
          1000,
        );
        bed.putVersion(2);
        bed.putServer('s1', 'leaving');
        Array.from({ length: 60 }, (_, i) => bed.store.put('other', String(i)));
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listOutdated(2)).to.deep.equal([]);
        expect(bed.listUsers('s1')).to.deep.equal([]);
      });

      it('brings the next version in force in time when all had seen the lost changes', async () => {
        // Guards against versions that are older by their revision, though not by their number.
        const bed = await startFleet(instances);
        await returnFromCopy(
          bed,
          () => {
            Array.from({ length: 20 }, (_, i) => bed.store.put('other', String(i)));
            bed.putVersion(2);
          },
          1500,
        );
        bed.putVersion(2);
        await bed.advance(500);
        bed.putVersion(3);
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listOutdated(3)).to.deep.equal([]);
      });

      it('never brings an older version in force again', async () => {
        // Guards against keys that were taken away and are valid again while the store holds the copy.
        const bed = await startFleet(instances);
        await returnFromCopy(bed, () => bed.putVersion(2), 1500);
        await bed.advance(5000);
        bed.listRunning().forEach(({ versions }) => expect(versions).to.deep.equal([1, 2]));
      });

      it('sends nothing to a server that had said that it leaves, or was removed, as the copy lists it', async () => {
        // Guards against requests at servers that leave, since the copy is from before they said so.
        const bed = await startFleet(instances);
        await returnFromCopy(
          bed,
          () => {
            bed.putServer('s1', 'leaving');
            bed.removeServer('s2');
          },
          1500,
        );
        for (let time = 0; time < 3500; time += 100) {
          await bed.advance(100);
          expect(bed.listUsers('s1')).to.deep.equal([]);
          expect(bed.listUsers('s2')).to.deep.equal([]);
        }
      });

      it('uses a server again that lives, though it was removed before the copy came back', async () => {
        // Guards against servers that are lost for good since they once were unregistered.
        const bed = await startFleet(instances);
        await returnFromCopy(bed, () => bed.removeServer('s2'), 1500);
        await bed.advance(1000);
        bed.putServer('s2', 'live');
        await bed.advance(500);
        bed.putServer('s2', 'live');
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listUsers('s2')).to.have.length(instances);
        expect(bed.listUsers('s3')).to.have.length(instances);
      });

      it('keeps servers and instances that registered after the copy until they have registered again', async () => {
        // Guards against calls that find no server, and peers that are forgotten, while these write their entries again.
        const bed = await startFleet(instances);
        await returnFromCopy(
          bed,
          () => {
            bed.putServer('s4', 'live');
            bed.start();
          },
          2500,
        );
        for (let time = 0; time < REGISTER_BOUND; time += 100) {
          if (time === 1500) {
            bed.putServer('s4', 'live');
          }
          await bed.advance(100);
          expect(bed.listUsers('s4')).to.have.length(instances + 1);
          bed
            .listRunning()
            .forEach(({ lease }) => expect(lease.listInstances()).to.have.length(instances + 1));
        }
      });

      it('drops a server that registered after the copy and has ended since', async () => {
        // Guards against servers that stay for good, since nothing in the new history removes them.
        const bed = await startFleet(instances);
        await returnFromCopy(bed, () => bed.putServer('s4', 'live'), 1500);
        await bed.advance(REGISTER_BOUND);
        expect(bed.listUsers('s4')).to.deep.equal([]);
      });

      it('brings an instance that was cut off over the return to the new history by its peers', async () => {
        // Guards against an instance that takes peers of the new history for outdated, or leads them back.
        const bed = await startFleet(instances);
        const cut = bed.members.slice(0, 2);
        await returnFromCopy(
          bed,
          () => {
            Array.from({ length: 20 }, (_, i) => bed.store.put('other', String(i)));
          },
          1500,
        );
        cut.forEach((member) => Object.assign(member, { isCut: true }));
        await bed.advance(200);
        bed.putVersion(2);
        bed.putServer('s1', 'leaving');
        // A watch that waits is known to be dead after 1.7 s at most, and peers are asked then.
        await bed.advance(IN_FORCE_BOUND + 2500);
        expect(bed.listOutdated(2)).to.deep.equal([]);
        expect(bed.listUsers('s1')).to.deep.equal([]);
        cut.forEach((member) => Object.assign(member, { isCut: false }));
        bed.putVersion(3);
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listOutdated(3)).to.deep.equal([]);
      });

      it('holds through several returns in a row', async () => {
        // Guards against state of the first return that hides the second.
        const bed = await startFleet(instances);
        for (let round = 0; round < 3; round += 1) {
          await returnFromCopy(bed, () => bed.putVersion(2 + round), round * 400);
          bed.putVersion(2 + round);
          await bed.advance(100 * round);
        }
        await bed.advance(IN_FORCE_BOUND);
        expect(bed.listOutdated(4)).to.deep.equal([]);
      });

      it('places each domain by one instance again, and by no two meanwhile', async () => {
        // Guards against domains that nobody places since the claims that the copy lacks are taken for held.
        const bed = createReturnBed(instances);
        const copy = bed.store.takeCopy();
        await bed.advance(SETTLE_TIME);
        bed.store.setAvailable(false);
        await bed.advance(AWAY);
        bed.store.returnFrom(copy);
        bed.store.setAvailable(true);
        for (let time = 0; time < PLACED_BOUND; time += 50) {
          await bed.advance(50);
          bed.domains.forEach((domain) =>
            expect(bed.listHolders(domain)).to.have.length.at.most(1),
          );
        }
        bed.domains.forEach((domain) => expect(bed.listHolders(domain)).to.have.length(1));
        await bed.advance(PLACED_BOUND);
        bed.domains.forEach((domain) => expect(bed.listHolders(domain)).to.have.length(1));
      });

      it('leaves the leases alone that others got under the numbers of its own', async () => {
        // Guards against an instance that renews or ends the lease of another since both got the same number.
        const bed = createReturnBed(instances);
        await bed.advance(50);
        const copy = bed.store.takeCopy();
        await bed.advance(SETTLE_TIME);
        const newcomer = bed.start();
        await bed.advance(1500);
        bed.store.setAvailable(false);
        await bed.advance(AWAY);
        bed.store.returnFrom(copy);
        bed.store.setAvailable(true);
        await bed.advance(100);
        newcomer.lease.stop();
        bed.kill(newcomer);
        await bed.advance(PLACED_BOUND);
        for (let time = 0; time < PLACED_BOUND; time += 100) {
          await bed.advance(100);
          bed.domains.forEach((domain) => expect(bed.listHolders(domain)).to.have.length(1));
          bed
            .listRunning()
            .forEach(({ lease }) => expect(lease.listInstances()).to.have.length(instances));
        }
      });
    });
  }
});
