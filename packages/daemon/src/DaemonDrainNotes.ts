/**
 * Drains that this instance was asked to take part in. Each stage of a drain lapses on its own, so that a message of an
 * earlier stage which arrives late does not reopen an engine.
 */
import { z } from 'zod';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { EngineId, Millis } from '@skylarksail/core/CoreTypes';

/** Stages of a drain, the mildest first. */
export const DrainStage = {
  /** Requests avoid the engine, but use it rather than be refused. */
  Avoided: 'avoided',
  /** Only answers that have begun may start a call there. */
  ClosedToNew: 'closed-to-new',
  /** No call starts there. */
  Closed: 'closed',
} as const;

export type DrainStageName = (typeof DrainStage)[keyof typeof DrainStage];

export const drainRequestSchema = z.object({
  engine: z.string().max(200),
  stage: z.enum(DrainStage),
  /** Number of the engine's last order. The drain is over once the engine reports a later one. */
  orderNumber: z.number(),
  /** Whether the engine's model may be left without a chain. */
  mayInterrupt: z.boolean(),
});

/** Asks an instance to take part in the drain of an engine. */
export type DrainRequest = z.output<typeof drainRequestSchema>;

/**
 * Time for which an instance keeps to a stage, unless it is asked again, so that a drain does not outlast a crash of
 * the instance that asked. A closed engine stays closed until an order that was sent meanwhile is there or has expired.
 */
const TTL_BY_STAGE: Readonly<Record<DrainStageName, Millis>> = {
  [DrainStage.Avoided]: 10_000,
  [DrainStage.ClosedToNew]: 10_000,
  [DrainStage.Closed]: 15_000,
};

interface Note {
  readonly until: Millis;
  readonly orderNumber: number;
}

export interface DrainNotes {
  /**
   * Begins or continues a stage of a drain. Returns whether this instance agrees to the stage; otherwise it merely
   * avoids the engine, which new requests still need as far as it knows.
   */
  note(request: DrainRequest): boolean;
  isAt(engine: EngineId, stage: DrainStageName): boolean;
  /** Engines that receive no new work while other engines can take it. */
  listDraining(): readonly EngineId[];
  /** Engines at which no call may start, by whether its request has begun. */
  listClosed(isBegun: boolean): readonly EngineId[];
}

export interface DrainNotesOptions {
  readonly timers: TimerService;
  /** Number of the last order that the engine reported; null without a report. */
  readonly getOrderNumber: (engine: EngineId) => number | null;
  /** Whether new requests have a chain without the engine and the closed ones. */
  readonly isDispensable: (engine: EngineId, closed: readonly EngineId[]) => boolean;
}

export function createDrainNotes(options: DrainNotesOptions): DrainNotes {
  const { timers, getOrderNumber } = options;
  const notes: Readonly<Record<DrainStageName, Map<EngineId, Note>>> = {
    [DrainStage.Avoided]: new Map(),
    [DrainStage.ClosedToNew]: new Map(),
    [DrainStage.Closed]: new Map(),
  };

  function isAt(engine: EngineId, stage: DrainStageName): boolean {
    const note = notes[stage].get(engine);
    return (
      note !== undefined &&
      timers.now() < note.until &&
      (getOrderNumber(engine) ?? -Infinity) <= note.orderNumber
    );
  }

  function list(stage: DrainStageName): readonly EngineId[] {
    const engines = [...notes[stage].keys()];
    const active = engines.filter((engine) => isAt(engine, stage));
    engines
      .filter((engine) => !active.includes(engine))
      .forEach((engine) => notes[stage].delete(engine));
    return active;
  }

  function listClosed(isBegun: boolean): readonly EngineId[] {
    const closed = list(DrainStage.Closed);
    return isBegun ? closed : [...closed, ...list(DrainStage.ClosedToNew)];
  }

  return {
    note({ engine, stage, orderNumber, mayInterrupt }) {
      const isAgreed =
        stage === DrainStage.Avoided ||
        mayInterrupt ||
        options.isDispensable(engine, listClosed(false));
      const agreed = isAgreed ? stage : DrainStage.Avoided;
      notes[agreed].set(engine, { until: timers.now() + TTL_BY_STAGE[agreed], orderNumber });
      return isAgreed;
    },
    isAt,
    listDraining: () => [...list(DrainStage.Avoided), ...list(DrainStage.ClosedToNew)],
    listClosed,
  };
}
