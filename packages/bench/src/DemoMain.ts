/** `npm run demo`: runs a stack on loopback, injects failures and prints each caller's result. */
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { LayerPass, ServiceEffect } from '@skylarksail/stand-ins/StandInLedger';
import { findLayerViolations } from '@skylarksail/stand-ins/StandInLedger';
import type { CallerRecord, CompletionCall } from './DemoCallers.js';
import { callService, sendCompletion, streamCompletion } from './DemoCallers.js';
import type { Stack, StackServer } from './StackLauncher.js';
import { launchStack } from './StackLauncher.js';
import { DEFAULT_STACK_SIZE, STACK_TEAMS } from './StackPlan.js';

const LONG_ANSWER_TOKENS = 120;
const SHORT_ANSWER_TOKENS = 24;
const STREAMS_PER_FAILURE = 4;
const CRASH_DOWNTIME_MS = 2000;
const OUTAGE_MS = 3000;
const TOKENS_BEFORE_FAILURE = 5;
const MAX_SHOWN_VIOLATIONS = 10;

/**
 * Runs the demo; returns the exit code, 0 only if no answer was lost, doubled or cut off and the
 * receipt was carried out exactly once.
 */
export async function runDemo(): Promise<number> {
  print('starting stand-ins and three daemons, submitting a manifest by command line');
  const stack = await launchStack(DEFAULT_STACK_SIZE);
  try {
    const records = [
      ...(await runPlainAnswers(stack)),
      ...(await runKeyedCall(stack)),
      ...(await runStageCrash(stack)),
      ...(await runPlatformOutage(stack)),
      ...(await runGracefulStop(stack)),
    ];
    return await report(stack, records);
  } finally {
    await stack.stop();
  }
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printRecords(records: readonly CallerRecord[]): readonly CallerRecord[] {
  records.forEach(({ what, outcome, detail, longestPauseMs }) => {
    const pause = longestPauseMs > 0 ? `, longest pause ${longestPauseMs} ms` : '';
    print(`  ${what}: ${outcome} (${detail}${pause})`);
  });
  return records;
}

/** Creates a promise that resolves at the first call of `reach`. */
function createSignal(): { readonly reached: Promise<void>; readonly reach: () => void } {
  let reach = (): void => undefined;
  const reached = new Promise<void>((resolve) => {
    reach = resolve;
  });
  return { reached, reach: () => reach() };
}

function createCall(stack: Stack, i: number, what: string, tokens: number): CompletionCall {
  const daemon = stack.daemons[i % stack.daemons.length];
  const team = STACK_TEAMS[i % STACK_TEAMS.length];
  return {
    what: `${what} through ${daemon?.id}`,
    callers: daemon?.callers ?? '',
    key: team?.key ?? '',
    content: `${what} number ${i}, tokens=${tokens}`,
    maxTokens: LONG_ANSWER_TOKENS * 2,
  };
}

async function runPlainAnswers(stack: Stack): Promise<readonly CallerRecord[]> {
  print('streaming and whole answers, and a plain service, through every daemon');
  const records = await Promise.all(
    stack.daemons.flatMap(({ id, callers }, i) => [
      streamCompletion(createCall(stack, i, 'streamed letter', SHORT_ANSWER_TOKENS)),
      sendCompletion(createCall(stack, i, 'whole letter', SHORT_ANSWER_TOKENS)),
      callService({
        what: `balance through ${id}`,
        callers,
        key: STACK_TEAMS[0].key,
        method: 'GET',
        path: '/balances/1',
      }),
    ]),
  );
  return printRecords(records);
}

/** Sends one receipt, with the same idempotency key, through each daemon in turn. */
async function runKeyedCall(stack: Stack): Promise<readonly CallerRecord[]> {
  print('a receipt with an idempotency key, sent through every daemon in turn');
  const records: CallerRecord[] = [];
  for (const { id, callers } of stack.daemons) {
    records.push(
      await callService({
        what: `receipt through ${id}`,
        callers,
        key: STACK_TEAMS[0].key,
        method: 'POST',
        path: '/receipts',
        idempotencyKey: 'receipt-1',
      }),
    );
  }
  return printRecords(records);
}

async function setFault(url: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
  const res = await request(`${url}/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(fault),
  });
  await res.body.dump();
}

async function runStageCrash(stack: Stack): Promise<readonly CallerRecord[]> {
  print('an engine crashes in the middle of answers');
  const { reached, reach } = createSignal();
  const answers = Array.from({ length: STREAMS_PER_FAILURE }, (_, i) =>
    streamCompletion({
      ...createCall(stack, i * stack.daemons.length, 'letter', LONG_ANSWER_TOKENS),
      onToken: (count) => {
        if (count === TOKENS_BEFORE_FAILURE) {
          reach();
        }
      },
    }),
  );
  await reached;
  const victim = await findBusyEngine(stack, stack.daemons[0]?.domain ?? '');
  print(`  crashing ${victim.id}`);
  await setFault(victim.url, { kind: 'crash', ms: CRASH_DOWNTIME_MS });
  return printRecords(await Promise.all(answers));
}

/** Finds the domain's engine with the most recorded layer passes, as one that is serving streams. */
async function findBusyEngine(stack: Stack, domain: string): Promise<StackServer> {
  const counted = await Promise.all(
    stack.engines
      .filter((engine) => engine.domain === domain)
      .map(async (engine) => ({ engine, passes: (await readPasses(engine)).length })),
  );
  const [busiest] = counted.sort((a, b) => b.passes - a.passes);
  if (!busiest) {
    throw new Error(`no engine in ${domain}`);
  }
  return busiest.engine;
}

async function readPasses({ url }: StackServer): Promise<readonly LayerPass[]> {
  try {
    const res = await request(`${url}/ledger`);
    return ((await res.body.json()) as { entries: LayerPass[] }).entries;
  } catch {
    return [];
  }
}

async function runPlatformOutage(stack: Stack): Promise<readonly CallerRecord[]> {
  print('the configuration service is cut off');
  await setFault(stack.platform, { kind: 'outage', ms: OUTAGE_MS });
  const records = await Promise.all(
    stack.daemons.map((_, i) =>
      streamCompletion(createCall(stack, i, 'letter in the outage', SHORT_ANSWER_TOKENS)),
    ),
  );
  await sleep(OUTAGE_MS);
  return printRecords(records);
}

async function runGracefulStop(stack: Stack): Promise<readonly CallerRecord[]> {
  print('one daemon is stopped while it answers');
  const { reached, reach } = createSignal();
  const last = stack.daemons.length - 1;
  const answers = Array.from({ length: STREAMS_PER_FAILURE }, (_, i) =>
    streamCompletion({
      ...createCall(stack, last + i * stack.daemons.length, 'letter', LONG_ANSWER_TOKENS),
      onToken: (count) => {
        if (count === TOKENS_BEFORE_FAILURE) {
          reach();
        }
      },
    }),
  );
  await reached;
  const stopped = stack.daemons[last]?.process.stop();
  const records = printRecords(await Promise.all(answers));
  await stopped;
  return records;
}

/** Prints a summary of the callers' results and the stand-ins' ledgers; returns the exit code. */
async function report(stack: Stack, records: readonly CallerRecord[]): Promise<number> {
  const passes = (await Promise.all(stack.engines.map(readPasses))).flat();
  const layerViolations = records
    .filter(({ outcome, tokens }) => outcome === 'answered' && tokens > 0)
    .flatMap(({ requestId, tokens }) =>
      findLayerViolations(
        passes.filter(({ request: id }) => id === requestId),
        DEFAULT_STACK_SIZE.layers,
        tokens,
      ),
    );
  layerViolations.slice(0, MAX_SHOWN_VIOLATIONS).forEach((fault) => print(`  layers: ${fault}`));
  const effects = (await Promise.all(stack.services.map(readEffects))).flat();
  const receipts = effects.filter(({ path }) => path === '/receipts').length;
  const count = (outcome: CallerRecord['outcome']): number =>
    records.filter((record) => record.outcome === outcome).length;
  const lost = count('lost') + count('wrong') + layerViolations.length;
  const doubled = count('doubled') + Math.max(0, receipts - 1);
  const cutOff = count('cut off');
  print(`  receipts carried out: ${receipts}; refused with a truthful error: ${count('refused')}`);
  print(`demo: ${count('answered')} answered, ${lost} lost, ${doubled} doubled, ${cutOff} cut off`);
  return lost + doubled + cutOff === 0 && receipts === 1 ? 0 : 1;
}

async function readEffects({ url }: StackServer): Promise<readonly ServiceEffect[]> {
  const res = await request(`${url}/ledger`);
  return ((await res.body.json()) as { entries: ServiceEffect[] }).entries;
}
