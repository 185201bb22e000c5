/** Callers of a soak: each keeps one connection to a daemon and reuses it until that process exits. */
import type { Random } from '@skylarksail/core/CoreRandom';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { Client } from 'undici';
import type { CallerRecord } from './DemoCallers.js';
import { callService, streamCompletion } from './DemoCallers.js';
import type { SoakDaemon } from './SoakDaemons.js';
import type { SoakOutcomeName, SoakRecord } from './SoakChecker.js';
import { SoakOutcome } from './SoakChecker.js';
import { STACK_TEAMS } from './StackPlan.js';

export interface SoakCallerOptions {
  readonly name: string;
  readonly random: Random;
  readonly listLive: () => readonly SoakDaemon[];
  readonly now: () => Millis;
  readonly sleep: (time: Millis) => Promise<void>;
  readonly isOver: () => boolean;
  readonly onRecord: (record: SoakRecord) => void;
}

interface Connection {
  readonly processId: string;
  readonly origin: string;
  readonly client: Client;
}

const KEEP_ALIVE: Millis = 60_000;
const MAX_TOKENS = 60;
const MIN_TOKENS = 5;
const RECEIPT_SHARE = 0.4;
/** Maximum sends of one receipt; a caller resends it while it does not know whether it was carried out. */
const MAX_SENDS = 4;
const MAX_REQUEST_GAP: Millis = 100;
const RESEND_DELAY: Millis = 250;

const OUTCOMES: Readonly<Record<CallerRecord['outcome'], SoakOutcomeName>> = {
  answered: SoakOutcome.Answered,
  refused: SoakOutcome.Refused,
  'cut off': SoakOutcome.Cut,
  lost: SoakOutcome.Wrong,
  doubled: SoakOutcome.Wrong,
  wrong: SoakOutcome.Wrong,
};

/** Sends requests one at a time until the soak is over; resolves after the last one has ended. */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
  const { name, random, listLive, now, sleep, isOver, onRecord } = options;
  const team = STACK_TEAMS[random.nextInt(STACK_TEAMS.length)] ?? STACK_TEAMS[0];
  let currentConnection = null as Connection | null;
  let count = 0;

  async function connect(): Promise<Connection | null> {
    if (
      currentConnection &&
      listLive().some(({ processId }) => processId === currentConnection?.processId)
    ) {
      return currentConnection;
    }
    await currentConnection?.client.destroy();
    const live = listLive();
    const chosen = live[random.nextInt(Math.max(1, live.length))];
    currentConnection = chosen
      ? {
          processId: chosen.processId,
          origin: chosen.daemon.callers,
          client: new Client(chosen.daemon.callers, { keepAliveTimeout: KEEP_ALIVE }),
        }
      : null;
    return currentConnection;
  }

  /** Sends one request; returns null if there is no live daemon or it refuses the connection. */
  async function send(
    key: string | null,
    sendRequest: (origin: string, client: Client) => Promise<CallerRecord>,
  ): Promise<SoakRecord | null> {
    const connection = await connect();
    if (!connection) {
      return null;
    }
    const startedAt = now();
    const result = await sendRequest(connection.origin, connection.client);
    if (result.detail.includes('ECONNREFUSED')) {
      await connection.client.destroy();
      currentConnection = null;
      return null;
    }
    const hasNoResponse = result.outcome === 'cut off' && result.requestId === '';
    const record: SoakRecord = {
      processId: connection.processId,
      outcome: hasNoResponse ? SoakOutcome.Unanswered : OUTCOMES[result.outcome],
      startedAt,
      endedAt: now(),
      tokens: result.tokens,
      requestId: result.requestId,
      run: result.run,
      key,
      detail: result.detail,
    };
    onRecord(record);
    return record;
  }

  async function sendStream(): Promise<void> {
    const tokens = MIN_TOKENS + random.nextInt(MAX_TOKENS - MIN_TOKENS);
    await send(null, (callers, dispatcher) =>
      streamCompletion({
        what: name,
        callers,
        dispatcher,
        key: team.key,
        content: `${name} number ${count}, tokens=${tokens}`,
        maxTokens: 2 * MAX_TOKENS,
      }),
    );
  }

  async function sendReceipt(): Promise<void> {
    const key = `${name}-${count}`;
    for (let sends = 0; sends < MAX_SENDS; sends += 1) {
      const record = await send(key, (callers, dispatcher) =>
        callService({
          what: key,
          callers,
          dispatcher,
          key: team.key,
          method: 'POST',
          path: '/receipts',
          idempotencyKey: key,
        }),
      );
      if (record?.outcome === SoakOutcome.Answered) {
        return;
      }
      await sleep(RESEND_DELAY);
    }
  }

  while (!isOver()) {
    count += 1;
    await (random.nextFloat() < RECEIPT_SHARE ? sendReceipt() : sendStream());
    await sleep(random.nextFloat() * MAX_REQUEST_GAP);
  }
  await currentConnection?.client.destroy();
}
