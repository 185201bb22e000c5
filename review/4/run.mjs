/** Instances that are in touch must apply a change in time while the few that watch the store for them do not answer. */
import { performance } from 'node:perf_hooks';
import { setTimeout as sleep } from 'node:timers/promises';
import { createCaller } from '../lib/ReviewCallers.mjs';
import { runCase } from '../lib/ReviewCase.mjs';
import { ZONES } from '../lib/ReviewFleet.mjs';
import { callRoute, createMovedRoute, SERVICES } from '../lib/ReviewMovedRoute.mjs';

const INSTANCES_PER_ZONE = 5;
/** Bounds of the site. */
const BOUNDS = { config_ms: 3000, stable_window_ms: 4000, drain_ms: 3000, retry_budget_slack: 304 };
const WATCHERS = 3;
const SETTLE_MS = 8000;
const ROUNDS = 2;
const ROUND_MS = 7000;
const CALL_GAP_MS = 40;

await runCase(import.meta.url, async ({ store, createFleet, note, hasTrouble, onEnd }) => {
  const fleet = createFleet(store);
  const { putRoute } = await createMovedRoute({ store, note, onEnd });
  const zones = Object.keys(ZONES);
  const instances = [];
  for (let i = 0; i < zones.length * INSTANCES_PER_ZONE; i += 1) {
    instances.push(await fleet.add(`edge-${i + 1}`, zones[i % zones.length], BOUNDS));
  }
  await fleet.waitUntilReady(instances);
  await sleep(SETTLE_MS);
  const callers = new Map(instances.map((instance) => [instance, createCaller(instance)]));
  callers.forEach((caller) => onEnd(caller.close));
  const late = [];
  let served = 0;

  async function call(instance, ackAt, service, endsAt) {
    while (performance.now() < endsAt) {
      const sentAfter = performance.now() - ackAt;
      const { id, service: ranAt } = await callRoute(callers.get(instance));
      served += ranAt === null ? 0 : 1;
      const isOld = ranAt !== null && ranAt !== service;
      if (isOld) {
        note(`${instance.name}: ${id}, sent ${Math.round(sentAfter)} ms after, ran at ${ranAt}`);
      }
      if (isOld && sentAfter > BOUNDS.config_ms) {
        late.push({ instance, sentAfter });
      }
      await sleep(CALL_GAP_MS);
    }
  }

  for (let round = 1; round <= ROUNDS; round += 1) {
    const names = store.listWatching();
    if (names.length !== WATCHERS) {
      throw new Error(`${names.length} instances watch the store`);
    }
    const cut = hasTrouble ? instances.filter(({ name }) => names.includes(name)) : [];
    cut.forEach(({ name, child }) => {
      child.kill('SIGSTOP');
      note(`${name} does not answer from now on`);
    });
    const service = SERVICES[round % SERVICES.length];
    const ackAt = putRoute(service);
    const calm = instances.filter((instance) => !cut.includes(instance));
    await Promise.all(calm.map((instance) => call(instance, ackAt, service, ackAt + ROUND_MS)));
    cut.forEach(({ child }) => child.kill('SIGCONT'));
    await sleep(SETTLE_MS);
  }

  const names = new Set(late.map(({ instance }) => instance.name));
  const latest = Math.max(0, ...late.map(({ sentAfter }) => Math.round(sentAfter)));
  return {
    isBroken: late.length > 0,
    isPlayed: served > 0,
    summary: `${late.length} requests ran at the old service too late, at ${names.size} instances; the last was sent ${latest} ms after the acknowledgement`,
  };
});
