/** Plays a case: prepares the store and the fleet, ends all that was started, and sets the exit status. */
import { dirname } from 'node:path';
import { clearTimeout, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { createFleet } from './ReviewFleet.mjs';
import { createRecord } from './ReviewRecord.mjs';
import { createStore } from './ReviewStore.mjs';

const Status = { Held: 0, Broken: 1, NotPlayed: 2 };
const TIME_LIMIT_MS = 110_000;

/**
 * `play` resolves to whether the rule was broken, whether the disruption took place, and a summary. What it starts
 * beside the fleet ends by the functions that it gives to `onEnd`.
 */
export async function runCase(url, play) {
  const hasTrouble = process.env.TROUBLE !== '0';
  const record = createRecord(dirname(fileURLToPath(url)));
  const store = createStore();
  const fleets = [];
  const ends = [];
  let status = Status.NotPlayed;

  /** A fleet whose processes reach the store at what `open` of its argument gives. */
  function addFleet(stores) {
    const fleet = createFleet({ store: stores, note: record.note });
    fleets.push(fleet);
    return fleet;
  }

  async function end() {
    await Promise.all(fleets.map((fleet) => fleet.close()));
    ends.forEach((one) => one());
    store.close();
    record.save();
    process.exit(status);
  }

  const limit = setTimeout(() => {
    record.note('the time limit was reached');
    void end();
  }, TIME_LIMIT_MS);
  try {
    const { isBroken, isPlayed, summary } = await play({
      store,
      createFleet: addFleet,
      note: record.note,
      hasTrouble,
      onEnd: (one) => ends.push(one),
    });
    const played = isPlayed ? Status.Held : Status.NotPlayed;
    status = isBroken ? Status.Broken : played;
    record.note(`${summary}; exit status ${status}`);
    process.stdout.write(`${summary}\n`);
  } catch (err) {
    record.note(`could not run: ${err.stack}`);
    process.stderr.write(`${err.stack}\n`);
  }
  clearTimeout(limit);
  await end();
}
