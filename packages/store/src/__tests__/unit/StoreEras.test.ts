import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { StoreHistory } from '../../StoreEras.js';
import { watchStoreHistory } from '../../StoreEras.js';
import { createFakeRangeStore } from '../../FakeRangeStore.js';

const CALL = { timeout: 100 };

describe('StoreEras', () => {
  it('reports another era, and a revision that went back, with what was known before', async () => {
    // Guards against a store that comes back from a copy without a trace in the logs.
    const store = createFakeRangeStore(createVirtualTimers());
    const seen: (readonly [StoreHistory, StoreHistory])[] = [];
    let era: number | undefined = 1;
    let revision = 7;
    const port = watchStoreHistory(
      {
        ...store,
        write: () =>
          Promise.resolve({
            kind: 'done',
            value: revision,
            ...(era === undefined ? {} : { era }),
          }),
      },
      (next, before) => seen.push([next, before]),
    );
    await port.write([], [], [], CALL);
    await port.write([], [], [], CALL);
    era = 2;
    revision = 5;
    await port.write([], [], [], CALL);
    era = undefined;
    revision = 3;
    await port.write([], [], [], CALL);
    expect(seen).to.deep.equal([
      [
        { era: 1, revision: 7 },
        { era: null, revision: null },
      ],
      [
        { era: 2, revision: 5 },
        { era: 1, revision: 7 },
      ],
      [
        { era: 2, revision: 3 },
        { era: 2, revision: 5 },
      ],
    ]);
  });
});
