import { expect } from 'chai';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { RelayParts } from '../../RelayPartsTypes.js';
import { stopRelay } from '../../RelayStop.js';

describe('RelayStop', () => {
  it('serves through the load balancer’s lag, drains within the grace period, then closes connections', async () => {
    // Guards against lost requests at a planned shutdown: the load balancer sends new connections for two seconds after
    // the instance stops being ready; those requests are lost if the port closes at the first signal.
    const timers = createVirtualTimers();
    const steps: string[] = [];
    const note = (what: string) => () => steps.push(`${timers.now()} ${what}`);
    const parts = {
      startLeaving: note('leaving'),
      stop: note('stopped'),
      router: {
        drain: (limit: number) => {
          steps.push(`${timers.now()} drain ${limit}`);
          return new Promise<void>((resolve) => {
            timers.registerTimeout(limit, resolve);
          });
        },
      },
    } as unknown as RelayParts;
    const port = {
      startClosing: note('closing'),
      stopAccepting: note('no new'),
      waitForAnswers: () => Promise.resolve(),
      close: note('cut'),
    };
    void stopRelay({ timers, parts, port, grace: 8000 });
    await timers.advanceToAsync(8000);
    expect(steps).to.deep.equal([
      '0 leaving',
      '0 closing',
      '2600 no new',
      '2600 drain 5000',
      '7600 cut',
      '7600 stopped',
    ]);
  });

  it('stays for the rest of its grace period until its leases have ended, with its port closed', async () => {
    // Guards against a process that ends before an unanswered release of its duties is repeated, so that they stay taken.
    const timers = createVirtualTimers();
    const steps: string[] = [];
    const note = (what: string) => () => steps.push(`${timers.now()} ${what}`);
    const parts = {
      startLeaving: note('leaving'),
      stop: note('stopped'),
      router: { drain: () => Promise.resolve() },
      waitForTasks: () => Promise.resolve(),
      waitForLeaseEnds: (limit: number) => {
        steps.push(`${timers.now()} leases ${limit}`);
        return new Promise<void>((resolve) => {
          timers.registerTimeout(900, resolve);
        });
      },
    } as unknown as RelayParts;
    const port = {
      startClosing: () => undefined,
      stopAccepting: note('no new'),
      waitForAnswers: () => Promise.resolve(),
      close: note('cut'),
    };
    void stopRelay({ timers, parts, port, grace: 8000 });
    await timers.advanceToAsync(8000);
    expect(steps).to.deep.equal([
      '0 leaving',
      '2600 no new',
      '2600 cut',
      '2600 leases 5000',
      '3500 stopped',
    ]);
  });

  it('closes its port once callers have taken their answers, or the grace period is over', async () => {
    // Guards against an answer that its caller still receives, and that a stop cuts since no request runs any more.
    for (const [taking, cutAt] of [
      [1500, 4100],
      [9000, 7600],
    ] as const) {
      const timers = createVirtualTimers();
      const steps: string[] = [];
      const parts = {
        startLeaving: () => undefined,
        stop: () => undefined,
        router: { drain: () => Promise.resolve() },
        waitForTasks: () => Promise.resolve(),
        waitForLeaseEnds: () => Promise.resolve(),
      } as unknown as RelayParts;
      const port = {
        startClosing: () => undefined,
        stopAccepting: () => undefined,
        waitForAnswers: (limit: number) =>
          new Promise<void>((resolve) => {
            timers.registerTimeout(Math.min(limit, taking), resolve);
          }),
        close: () => steps.push(`${timers.now()} cut`),
      };
      void stopRelay({ timers, parts, port, grace: 8000 });
      await timers.advanceToAsync(8000);
      expect(steps).to.deep.equal([`${cutAt} cut`]);
    }
  });
});
