/** An entry of another writer, whose address has a port that is none, must not end processes and lose their requests. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createCaller, createRequestId } from '../lib/ReviewCallers.mjs';
import { runCase } from '../lib/ReviewCase.mjs';
import { createEngineEntry, createEngines, MODEL_SERVICE_CONFIG } from '../lib/ReviewEngines.mjs';
import { HOST, ZONES } from '../lib/ReviewFleet.mjs';
import { CALL, putConfig, startServer } from '../lib/ReviewServers.mjs';

/** The engines of one zone of the sheet. */
const ENGINE_KINDS = ['h100', 'a100s', ...Array(5).fill('l4'), ...Array(7).fill('t4')];
const ENGINE_ZONE = 'port-hall';
const CALLERS_PER_INSTANCE = 12;
const CALL_GAP_MS = 60;
const DEADLINE_MS = 4000;
const WORK_MS = 86;
/** `stable_window_ms` of the site. */
const WINDOW_MS = 4000;
const CALM_MS = 6000;
const TROUBLE_MS = 12_000;
const RESTART_DELAY_MS = 1000;
const MAX_LOST = 3;

await runCase(import.meta.url, async ({ store, createFleet, note, hasTrouble, onEnd }) => {
  const fleet = createFleet(store);
  const arrived = new Set();
  const lost = new Map();
  const sent = { total: 0, served: 0 };
  let isOver = false;

  putConfig(store, { kind: 'unsafe', services: [MODEL_SERVICE_CONFIG] });
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    const server = await startServer({
      store,
      id: `i-${i + 1}`,
      zone,
      note,
      getWorkTime: () => WORK_MS,
      onArrival: ({ id }) => arrived.add(id),
    });
    onEnd(server.close);
  }
  const engines = createEngines({ store, note });
  for (const [i, kind] of ENGINE_KINDS.entries()) {
    const engine = await engines.start({ id: `m-${i + 1}`, zone: ENGINE_ZONE, kind });
    onEnd(engine.close);
  }
  const instances = [];
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    instances.push(await fleet.add(`edge-${i + 1}`, zone));
  }
  await fleet.waitUntilReady(instances);
  const startedAt = new Map(instances.map(({ name }) => [name, performance.now()]));
  const ends = new Map(instances.map(({ name }) => [name, 0]));

  /** Starts each process that has ended by itself again, as the platform does. */
  async function restartEnded() {
    while (!isOver) {
      for (const instance of instances.filter(({ end }) => end !== null)) {
        ends.set(instance.name, ends.get(instance.name) + 1);
        await sleep(RESTART_DELAY_MS);
        startedAt.set(instance.name, performance.now());
        instance.start();
      }
      await sleep(20);
    }
  }

  /** A request is lost if its server got it from a process that ran for long enough, and no answer came. */
  function noteAnswer(instance, id, isKept, wasInTouch, { status, failure }) {
    note(`caller gets ${status ?? failure} for ${id}`);
    sent.served += status === 200 ? 1 : 0;
    if (status === null && isKept && wasInTouch && arrived.has(id)) {
      lost.set(instance.name, (lost.get(instance.name) ?? 0) + 1);
      note(`LOST ${id}, passed on by ${instance.name}`);
    }
  }

  async function runCaller(caller) {
    const { instance } = caller;
    let isKept = false;
    while (!isOver) {
      const id = createRequestId('receipt');
      const wasInTouch = performance.now() - startedAt.get(instance.name) > WINDOW_MS;
      sent.total += 1;
      const answer = await caller.send({ ...CALL, id, deadline: DEADLINE_MS });
      noteAnswer(instance, id, isKept, wasInTouch, answer);
      isKept = answer.status !== null;
      await sleep(CALL_GAP_MS);
    }
  }

  const callers = instances.flatMap((instance) =>
    Array.from({ length: CALLERS_PER_INSTANCE }, () => createCaller(instance)),
  );
  callers.forEach((caller) => onEnd(caller.close));
  const running = [restartEnded(), ...callers.map(runCaller)];
  await sleep(CALM_MS);
  if (hasTrouble) {
    const stray = { id: 'm-stray', address: `${HOST}:80800`, zone: ENGINE_ZONE, kind: 'l4' };
    note(`another writer writes servers/${stray.id} with the address ${stray.address}`);
    store.put(`servers/${stray.id}`, createEngineEntry(stray));
  }
  await sleep(TROUBLE_MS);
  isOver = true;
  await Promise.all(running);

  const mostLost = Math.max(0, ...lost.values());
  const ended = [...ends].map(([name, count]) => `${name} ended ${count} times`);
  note(`${sent.total} sent, ${sent.served} served`);
  return {
    isBroken: mostLost > MAX_LOST,
    isPlayed: sent.served > 0,
    summary: `${ended.join(', ')}; one instance lost ${mostLost} requests`,
  };
});
