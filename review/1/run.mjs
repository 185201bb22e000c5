/** A late extra refusal arrives where the answer to another request is expected; that request must not run twice. */
import { setTimeout as sleep } from 'node:timers/promises';
import { createCaller, createRequestId } from '../lib/ReviewCallers.mjs';
import { runCase } from '../lib/ReviewCase.mjs';
import { ZONES } from '../lib/ReviewFleet.mjs';
import { CALL, putConfig, startServer } from '../lib/ReviewServers.mjs';

const CALLERS_PER_INSTANCE = 14;
const DEADLINE_MS = 4000;
const WORK_MS = 86;
const WAVES = 20;
const WAVE_GAP_MS = 250;
/** Share of a faulty server's answers of which a late copy follows. */
const EXTRA_SHARE = 0.03;
const FAULTY_SERVER = 'i-1';

await runCase(import.meta.url, async ({ store, createFleet, note, hasTrouble, onEnd }) => {
  const fleet = createFleet(store);
  const runs = new Map();
  const late = new Map();
  let extras = 0;
  let answered = 0;

  function copyLater({ id, status, body, socket }) {
    answered += 1;
    if (extras + 1 > EXTRA_SHARE * answered) {
      return;
    }
    extras += 1;
    const head = [
      `HTTP/1.1 ${status} Service Unavailable`,
      `X-Skylarksail-Request-Id: ${id}`,
      'X-Skylarksail-Not-Executed: 1',
      `Content-Length: ${body.length}`,
    ];
    late.set(socket, { id, text: `${head.join('\r\n')}\r\n\r\n${body}` });
  }

  function writeLateCopy({ id, socket }) {
    answered += 1;
    const copy = late.get(socket);
    if (copy !== undefined) {
      late.delete(socket);
      note(`server ${FAULTY_SERVER} repeats its refusal of ${copy.id} before its answer to ${id}`);
      socket.write(copy.text);
    }
  }

  putConfig(store, { kind: 'unsafe' });
  const servers = [];
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    const id = `i-${i + 1}`;
    const isFaulty = hasTrouble && id === FAULTY_SERVER;
    servers.push(
      await startServer({
        store,
        id,
        zone,
        note,
        getWorkTime: () => WORK_MS,
        onRun: (run) => runs.set(run.id, [...(runs.get(run.id) ?? []), run.server]),
        ...(isFaulty && { onRefused: copyLater, beforeRun: writeLateCopy }),
      }),
    );
  }
  servers.forEach((server) => onEnd(server.close));
  const instances = [];
  for (const [i, zone] of Object.keys(ZONES).entries()) {
    instances.push(await fleet.add(`edge-${i + 1}`, zone));
  }
  await fleet.waitUntilReady(instances);

  const callers = instances.flatMap((instance) =>
    Array.from({ length: CALLERS_PER_INSTANCE }, () => createCaller(instance)),
  );
  callers.forEach((caller) => onEnd(caller.close));
  const answers = new Map();

  async function call(caller) {
    const id = createRequestId('receipt');
    note(`caller sends ${id} to ${caller.instance.name}`);
    const { status, failure } = await caller.send({ ...CALL, id, deadline: DEADLINE_MS });
    answers.set(id, status);
    note(`caller gets ${status ?? failure} for ${id}`);
  }

  const calls = [];
  for (let wave = 0; wave < WAVES; wave += 1) {
    calls.push(...callers.map(call));
    await sleep(WAVE_GAP_MS);
  }
  await Promise.all(calls);

  const twice = [...runs].filter(([, where]) => where.length > 1);
  const refused = [...runs.keys()].filter((id) => [429, 503].includes(answers.get(id)));
  twice.forEach(([id, where]) => note(`TWICE ${id} ran at ${where.join(' and ')}`));
  refused.forEach((id) => note(`REFUSED ${id} was answered ${answers.get(id)} and ran`));
  const served = [...answers.values()].filter((status) => status === 200).length;
  note(`${answers.size} sent, ${served} served, ${extras} late copies`);
  return {
    isBroken: twice.length > 0 || refused.length > 0,
    isPlayed: served > 0 && (!hasTrouble || extras > 0),
    summary: `${twice.length} ran twice, ${refused.length} were refused and ran`,
  };
});
