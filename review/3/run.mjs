/** A stream must not look complete to its caller when the process that passes it on is killed midway. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createCaller, createRequestId } from '../lib/ReviewCallers.mjs';
import { runCase } from '../lib/ReviewCase.mjs';
import {
  createEngines,
  EVENTS,
  MODEL_SERVICE_CONFIG,
  STREAM_HEADERS,
  STREAM_ROUTE,
  STREAM_ROUTE_CONFIG,
} from '../lib/ReviewEngines.mjs';
import { ZONES } from '../lib/ReviewFleet.mjs';
import { CALL, putConfig } from '../lib/ReviewServers.mjs';

/** The engines of one zone of the sheet. */
const ENGINE_KINDS = ['h100', 'a100s', ...Array(5).fill('l4'), ...Array(7).fill('t4')];
const ENGINE_ZONE = 'port-hall';
const PLACING_MS = 6000;
const CALM_MS = 4000;
const AFTER_MS = 3000;
const CALLERS_PER_INSTANCE = 4;
const CALL_GAP_MS = 50;
const DEADLINE_MS = 20_000;
const EVENT_ID = /^id: (\d+)$/gm;

await runCase(import.meta.url, async ({ store, createFleet, note, hasTrouble, onEnd }) => {
  const fleet = createFleet(store);
  const short = [];
  const counts = { sent: 0, whole: 0 };
  let isOver = false;

  putConfig(store, {
    kind: 'unsafe',
    routes: [STREAM_ROUTE_CONFIG],
    services: [MODEL_SERVICE_CONFIG],
  });
  const engines = createEngines({ store, note });
  for (const [i, kind] of ENGINE_KINDS.entries()) {
    const identity = { id: `m-${i + 1}`, zone: ENGINE_ZONE, kind };
    const engine = await engines.start({ ...identity, isUnframed: true });
    onEnd(engine.close);
  }
  const instances = [];
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    instances.push(await fleet.add(`edge-${i + 1}`, zone));
  }
  await fleet.waitUntilReady(instances);
  await sleep(PLACING_MS);

  function noteAnswer(id, instance, { status, failure, body = '' }) {
    const events = [...body.matchAll(EVENT_ID)].length;
    note(`caller gets ${status ?? failure} with ${events} events for ${id}`);
    if (status === 200 && events === EVENTS) {
      counts.whole += 1;
    } else if (status === 200) {
      note(`ORDER ${id} at ${instance.name} ended as complete after ${events} of ${EVENTS} events`);
      short.push(id);
    }
  }

  async function runCaller(caller) {
    const { instance } = caller;
    while (!isOver && instance.end === null) {
      const id = createRequestId('letter');
      counts.sent += 1;
      const answer = await caller.send({
        host: STREAM_ROUTE.host,
        path: `${STREAM_ROUTE.prefix}${id}`,
        key: CALL.key,
        id,
        deadline: DEADLINE_MS,
        headers: STREAM_HEADERS,
      });
      noteAnswer(id, instance, answer);
      await sleep(CALL_GAP_MS);
    }
  }

  const callers = instances.flatMap((instance) =>
    Array.from({ length: CALLERS_PER_INSTANCE }, () => createCaller(instance)),
  );
  callers.forEach((caller) => onEnd(caller.close));
  const running = callers.map(runCaller);
  await sleep(CALM_MS);
  if (hasTrouble) {
    note(`${instances[0].name} is killed`);
    instances[0].child.kill('SIGKILL');
  }
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all(running);

  note(`${counts.sent} sent, ${counts.whole} answered whole`);
  return {
    isBroken: short.length > 0,
    isPlayed: counts.whole > 0,
    summary: `${short.length} streams ended as complete before their last event, ${counts.whole} were whole`,
  };
});
