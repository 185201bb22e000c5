/** What may become of a call to a fake store, and lists of such fates for tests. */

/** What becomes of a call; `Late` and `Overlong` outlast the timeout of the call. */
export const CallFate = {
  Answered: 'answered',
  /** Arrives after several other calls could, and is answered before its timeout. */
  Delayed: 'delayed',
  /** Applied at once, answered shortly before the timeout. */
  Slow: 'slow',
  /** Applied at once; the answer begins in time and is complete only after the timeout. */
  Overlong: 'overlong',
  LostAnswer: 'lost-answer',
  LostCall: 'lost-call',
  /** Not answered, and applied after the timeout. */
  Late: 'late',
  Refused: 'refused',
  /** The lease ends just before the call arrives. */
  Lapsed: 'lapsed',
  /** Applied, and the promise is rejected. */
  Throws: 'throws',
} as const;

export type CallFateName = (typeof CallFate)[keyof typeof CallFate];

/** Fates of the first calls of each operation; all others are answered. */
export type CallFates<Operation extends string> = Readonly<
  Partial<Record<Operation, readonly CallFateName[]>>
>;

/** Fates other than `Answered` that any call may have. */
export const COMMON_FAULTS: readonly CallFateName[] = [
  CallFate.Delayed,
  CallFate.Slow,
  CallFate.Overlong,
  CallFate.LostAnswer,
  CallFate.LostCall,
  CallFate.Late,
  CallFate.Refused,
];

interface OperationFates<Operation extends string> {
  readonly op: Operation;
  readonly fates: readonly CallFateName[];
}

function toCallFates<Operation extends string>(
  list: readonly OperationFates<Operation>[],
): CallFates<Operation> {
  const fates: Partial<Record<Operation, readonly CallFateName[]>> = {};
  list.forEach((each) => {
    fates[each.op] = each.fates;
  });
  return fates;
}

/**
 * Lists all fates of the first two calls of each operation of which at most two differ from `Answered`,
 * shorter ones first. `faulty` has the possible fates of each operation other than `Answered`.
 */
export function listFates<Operation extends string>(
  faulty: Readonly<Record<Operation, readonly CallFateName[]>>,
): readonly CallFates<Operation>[] {
  const operations = Object.keys(faulty) as Operation[];
  const single = operations.flatMap((op) => faulty[op].map((fate) => ({ op, fates: [fate] })));
  const pairs = single.flatMap((a, i) =>
    single
      .filter((b, k) => a.op === b.op || k > i)
      .map((b) => (a.op === b.op ? [{ op: a.op, fates: [...a.fates, ...b.fates] }] : [a, b])),
  );
  return [[], ...single.map((each) => [each]), ...pairs].map(toCallFates);
}
