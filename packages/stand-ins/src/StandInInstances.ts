/** The stand-in platform's instance list, in which a change appears with a lag, and its calls. */
import type { FastifyInstance } from 'fastify';
import { z } from 'zod';
import type { Millis } from '@skylarksail/core/CoreTypes';

const LIST_HISTORY_LENGTH = 64;

const instanceSchema = z.strictObject({
  id: z.string(),
  role: z.enum(['entry', 'engine', 'service']),
  domain: z.string(),
  rack: z.string(),
  address: z.strictObject({ host: z.string(), port: z.int() }),
  peerPort: z.int(),
  state: z.enum(['live', 'leaving']),
});

type ListedInstance = z.output<typeof instanceSchema>;

export interface InstanceRoutesOptions {
  /** Applies the faults of all calls; true if the connection must be closed unanswered. */
  readonly applyFaults: () => Promise<boolean>;
  /** Delay until a change appears; read at each call. */
  readonly getLag: () => Millis;
  readonly now: () => Millis;
  readonly onList: () => void;
}

/** The instances that are listed. */
export interface StandInInstances {
  count(): number;
  /** Registers the calls that read and change the list. */
  registerRoutes(app: FastifyInstance): void;
}

/** Creates an empty list. */
export function createStandInInstances(options: InstanceRoutesOptions): StandInInstances {
  const { applyFaults, getLag, now, onList } = options;
  let instances = new Map<string, ListedInstance>();
  let history: { readonly at: Millis; readonly list: readonly ListedInstance[] }[] = [];

  function change(changed: Map<string, ListedInstance>): void {
    instances = changed;
    history = [
      ...history.slice(-LIST_HISTORY_LENGTH),
      { at: now(), list: [...instances.values()] },
    ];
  }

  function readLaggingList(): readonly ListedInstance[] {
    const limit = now() - getLag();
    const snapshot = history.filter(({ at }) => at <= limit).at(-1);
    return snapshot?.list ?? history[0]?.list ?? [];
  }

  return {
    count: () => instances.size,
    registerRoutes(app) {
      app.get('/v1/instances', async (_req, reply) => {
        onList();
        if (await applyFaults()) {
          return reply.raw.destroy();
        }
        return reply.send({ instances: readLaggingList() });
      });
      app.post('/v1/instances', (req, reply) => {
        const record = instanceSchema.parse(req.body);
        change(new Map(instances).set(record.id, record));
        return reply.send({});
      });
      app.delete<{ Params: { id: string } }>('/v1/instances/:id', (req, reply) => {
        change(new Map([...instances].filter(([id]) => id !== req.params.id)));
        return reply.send({});
      });
    },
  };
}
