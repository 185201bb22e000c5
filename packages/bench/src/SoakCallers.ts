/** Callers of a soak: each keeps one connection open, and uses it until the process behind it is gone. */
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
  readonly life: string;
  readonly origin: string;
  readonly client: Client;
}

const KEEP_ALIVE: Millis = 60_000;
const MOST_TOKENS = 60;
const LEAST_TOKENS = 5;
const RECEIPT_SHARE = 0.4;
/** Times that a caller sends a receipt whose fate it doesn't know. */
const MOST_TRIES = 4;
const PAUSE: Millis = 100;
const TRY_PAUSE: Millis = 250;

const OUTCOMES: Readonly<Record<CallerRecord['outcome'], SoakOutcomeName>> = {
  answered: SoakOutcome.Answered,
  refused: SoakOutcome.Refused,
  'cut off': SoakOutcome.Cut,
  lost: SoakOutcome.Wrong,
  doubled: SoakOutcome.Wrong,
  wrong: SoakOutcome.Wrong,
};

/** Sends until the soak is over; resolves when the last request has ended. */
export async function runSoakCaller(options: SoakCallerOptions): Promise<void> {
  const { name, random, listLive, now, sleep, isOver, onRecord } = options;
  const team = STACK_TEAMS[random.nextInt(STACK_TEAMS.length)] ?? STACK_TEAMS[0];
  let open = null as Connection | null;
  let count = 0;

  async function connect(): Promise<Connection | null> {
    if (open && listLive().some(({ processId: life }) => life === open?.life)) {
      return open;
    }
    await open?.client.destroy();
    const live = listLive();
    const chosen = live[random.nextInt(Math.max(1, live.length))];
    open = chosen
      ? {
          life: chosen.processId,
          origin: chosen.daemon.callers,
          client: new Client(chosen.daemon.callers, { keepAliveTimeout: KEEP_ALIVE }),
        }
      : null;
    return open;
  }

  /** Sends once; null if the daemon took no connection. */
  async function send(
    key: string | null,
    act: (origin: string, client: Client) => Promise<CallerRecord>,
  ): Promise<SoakRecord | null> {
    const connection = await connect();
    if (!connection) {
      return null;
    }
    const startedAt = now();
    const heard = await act(connection.origin, connection.client);
    if (heard.detail.includes('ECONNREFUSED')) {
      await connection.client.destroy();
      open = null;
      return null;
    }
    const isSilent = heard.outcome === 'cut off' && heard.requestId === '';
    const record: SoakRecord = {
      processId: connection.life,
      outcome: isSilent ? SoakOutcome.Unanswered : OUTCOMES[heard.outcome],
      startedAt,
      endedAt: now(),
      tokens: heard.tokens,
      requestId: heard.requestId,
      run: heard.run,
      key,
      detail: heard.detail,
    };
    onRecord(record);
    return record;
  }

  async function sendStream(): Promise<void> {
    const tokens = LEAST_TOKENS + random.nextInt(MOST_TOKENS - LEAST_TOKENS);
    await send(null, (callers, dispatcher) =>
      streamCompletion({
        what: name,
        callers,
        dispatcher,
        key: team.key,
        content: `${name} number ${count}, tokens=${tokens}`,
        maxTokens: 2 * MOST_TOKENS,
      }),
    );
  }

  async function sendReceipt(): Promise<void> {
    const key = `${name}-${count}`;
    for (let tries = 0; tries < MOST_TRIES; tries += 1) {
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
      await sleep(TRY_PAUSE);
    }
  }

  while (!isOver()) {
    count += 1;
    await (random.nextFloat() < RECEIPT_SHARE ? sendReceipt() : sendStream());
    await sleep(random.nextFloat() * PAUSE);
  }
  await open?.client.destroy();
}
