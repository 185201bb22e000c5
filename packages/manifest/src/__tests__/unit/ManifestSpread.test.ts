import { expect } from 'chai';
import { listInForce } from '../../ManifestConfirm.js';
import { getKnownBy } from '../../ManifestSpread.js';
import { submitManifest } from '../../ManifestStore.js';
import { createBed, DEADLINE, expectNoRevert } from '../ManifestBed.js';
import { createManifest, getTestKey } from '../ManifestFixtures.js';

describe('ManifestSpread', () => {
  it('brings a revision into force everywhere within a second, and finds teams by key', async () => {
    const bed = createBed(1, 3, 5);
    bed.fleet.startAll();
    await bed.pass(3000);
    await bed.accept(40);
    await bed.pass(500);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([1]));
    const view = bed.fleet.getView('d1-2');
    expect(view?.getTeamByKey(getTestKey(17))?.id).to.equal('team-000017');
    expect(view?.getTeamByKey('wrong')).to.equal(undefined);
    expect(view?.getTeam('team-000039')?.models).to.deep.equal(['notes']);
  });

  it('keeps the view of a running request while new ones take the new revision', async () => {
    const bed = createBed(2);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.pass(3000);
    const old = bed.fleet.getView('d0-0');
    await bed.accept(2);
    await bed.pass(2000);
    expect(old?.getTeam('team-000002')?.id).to.equal('team-000002');
    expect(bed.fleet.getView('d0-0')?.getTeam('team-000002')).to.equal(undefined);
    expect(bed.fleet.getView('d0-0')?.getTeamByKey(getTestKey(2))).to.equal(undefined);
  });

  it('learns from peers when it starts in an outage, and says so', async () => {
    // Symptom: an instance that was replaced in an outage serves nothing, or an old revision.
    // Sequence: the platform goes, an instance restarts. Cause: the platform as the only source.
    const bed = createBed(3);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.accept(4);
    await bed.pass(3000);
    bed.platform.setFaults({ outage: true });
    bed.fleet.kill('d0-1');
    await bed.pass(5000);
    bed.fleet.start('d0-1');
    await bed.pass(3000);
    expect(bed.fleet.getRevision('d0-1')).to.equal(2);
    const state = bed.fleet.getRunner('d0-1')?.getState();
    expect(state && getKnownBy(state)).to.equal('peers');
    bed.platform.setFaults({ outage: false });
    await bed.pass(60_000);
    const later = bed.fleet.getRunner('d0-1')?.getState();
    expect(later && getKnownBy(later)).to.equal('platform');
    expectNoRevert(bed);
  });

  it('takes the highest of several peers when most of them lag in a cut-off domain', async () => {
    // Symptom: an instance goes back to an older manifest. Sequence: one domain is cut off, the
    // others move on, the domain is joined while the platform is out, an instance restarts and asks
    // one of the instances that still lag. Cause: trust in a single peer.
    for (let seed = 1; seed <= 10; seed++) {
      const bed = createBed(seed, 2, 4);
      bed.fleet.startAll();
      await bed.accept(3);
      await bed.pass(3000);
      bed.fleet.setPartitioned('d1', true);
      await bed.accept(4);
      await bed.pass(3000);
      expect(bed.fleet.getRevision('d0-2')).to.equal(2);
      expect(bed.fleet.getRevision('d1-2')).to.equal(1);
      bed.platform.setFaults({ outage: true });
      bed.fleet.kill('d0-2');
      bed.fleet.setPartitioned('d1', false);
      bed.platform.setFaults({ outage: true }, 'd1-0');
      bed.fleet.start('d0-2');
      await bed.pass(3000);
      expect(bed.fleet.getRevision('d0-2')).to.equal(2);
      expectNoRevert(bed);
    }
  });

  it('does not serve a revision that it alone has read until a peer holds it', async () => {
    // Symptom: an instance serves revision 2, restarts, and serves revision 1. Sequence: it reads 2
    // from the platform and dies before anyone else has heard of it; the platform goes; it starts.
    // Cause: putting into force what only this process holds.
    const bed = createBed(4, 2, 3);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.pass(3000);
    bed.fleet.setLoss(1);
    const work = bed.submit('pipeline', 'second', 1, 4);
    await bed.pass(100);
    expect((await work).kind).to.equal('accepted');
    await bed.pass(100);
    const holders = bed.fleet
      .listRunning()
      .filter((id) => bed.fleet.getRunner(id)?.getState().held?.root.revision === 2);
    expect(holders).to.have.length.above(0);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([1]));
    bed.platform.setFaults({ outage: true });
    holders.forEach((id) => bed.fleet.kill(id));
    bed.fleet.setLoss(0);
    holders.forEach((id) => bed.fleet.start(id));
    await bed.pass(5000);
    expectNoRevert(bed);
  });

  it('gets through when watches miss changes and a fifth of the messages is lost', async () => {
    const bed = createBed(6, 3, 4);
    bed.platform.setFaults({ missedWatches: 1, repeatedWatches: 0.2 });
    bed.fleet.startAll();
    bed.fleet.setLoss(0.2);
    await bed.pass(3000);
    await bed.accept(5);
    await bed.pass(30_000);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([1]));
    bed.fleet.setLoss(0);
    await bed.accept(6);
    await bed.pass(35_000);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([2]));
    expectNoRevert(bed);
  });

  it('keeps to what it has when the service is restored from an older backup', async () => {
    // Symptom: every instance goes back at once. Sequence: the service is restored from a backup and
    // gives an older root, or another one of the same revision. Cause: trust in whatever is newest
    // at the platform. What to do is in the operators' page; `olderRoots` shows it.
    const bed = createBed(7);
    bed.fleet.startAll();
    await bed.accept(3);
    const backup = bed.platform.store.read('manifest/root');
    await bed.accept(4);
    await bed.pass(3000);
    const current = bed.platform.store.read('manifest/root');
    bed.platform.store.swap('manifest/root', current.revision, backup.value);
    await bed.pass(60_000);
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([2]));
    expect(bed.fleet.getRunner('d0-0')?.getState().counts.olderRoots).to.be.above(0);
    expectNoRevert(bed);
  });

  it('spreads what it took itself when the platform goes right after the acceptance', async () => {
    // Symptom: a change is reported as accepted and is in force nowhere until an outage ends.
    // Sequence: the swap of the root is answered, the platform goes before any watcher has read the
    // chunks. Cause: the instance that took the submission had them and told nobody.
    const bed = createBed(10, 3, 3);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.pass(3000);
    const runner = bed.fleet.getRunner('d1-1');
    const outcome = submitManifest(bed.connect('d1-1'), createManifest(4), {
      submissionId: 'second',
      expectedRevision: 1,
      deadline: bed.timers.now() + DEADLINE,
      onAccepted(root, chunks) {
        bed.platform.setFaults({ outage: true });
        runner?.learnAccepted(root, chunks);
      },
    });
    await bed.pass(2000);
    expect(await outcome).to.include({ kind: 'accepted', revision: 2 });
    expect(new Set(bed.getRevisions())).to.deep.equal(new Set([2]));
    expectNoRevert(bed);
  });

  it('drops garbage from a peer and counts it', async () => {
    const bed = createBed(8);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.pass(3000);
    const runner = bed.fleet.getRunner('d0-0');
    [null, 7, {}, { type: 'told' }, { type: 'given', root: 1, chunks: [] }].forEach((input) =>
      runner?.receiveMessage('d0-1', input),
    );
    const root = runner?.getState().held?.root;
    const body = `9-${'x'.repeat(43)}`;
    runner?.receiveMessage('d0-1', {
      type: 'given',
      root: { ...root, revision: 9, body },
      chunks: [{ ref: body, text: 'not the text of that name' }],
    });
    await bed.pass(2000);
    expect(runner?.getState().counts).to.include({ droppedMessages: 5, droppedChunks: 1 });
    expect(bed.fleet.getRevision('d0-0')).to.equal(1);
  });

  it('names the instances that have not confirmed, domain by domain', async () => {
    const bed = createBed(9, 3, 3);
    bed.fleet.startAll();
    await bed.accept(3);
    await bed.pass(3000);
    bed.fleet.setPartitioned('d2', true);
    await bed.accept(4);
    await bed.pass(3000);
    bed.fleet.getRunner('d0-0')?.queryInForce(2);
    await bed.pass(500);
    const state = bed.fleet.getRunner('d0-0')?.getState();
    const domains = state ? listInForce(state, 2, bed.timers.now()) : [];
    expect(domains.map(({ domain, inForce, total }) => [domain, inForce, total])).to.deep.equal([
      ['d0', 3, 3],
      ['d1', 3, 3],
      ['d2', 0, 3],
    ]);
    expect(domains[2]?.age).to.equal(null);
    bed.fleet.setPartitioned('d2', false);
    await bed.pass(20_000);
    bed.fleet.getRunner('d0-0')?.queryInForce(2);
    await bed.pass(500);
    const after = bed.fleet.getRunner('d0-0')?.getState();
    const joined = after ? listInForce(after, 2, bed.timers.now()) : [];
    expect(joined.map(({ inForce }) => inForce)).to.deep.equal([3, 3, 3]);
  });
});
