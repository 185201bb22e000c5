import { expect } from 'chai';
import { createRandom } from '@skylarksail/core/CoreRandom';
import { createVirtualTimers } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';
import { createForwardPeers } from '../../RelayForwardPeers.js';
import type { ForwardFrame, ForwardListener, ForwardTask } from '../../RelayForwardTypes.js';
import { createRelayForwarding } from '../../RelayForwarding.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const DOMAINS = 8;
const PEER_DELAY: Millis = 2;
const SERVERS = 40;

const CALL: ForwardTask = {
  kind: 'service-call',
  hasPermit: false,
  call: {
    request: 'r',
    attempt: 1,
    service: 's',
    server: 'e1',
    team: 't',
    priority: 'normal',
    method: 'POST',
    path: '/p',
    headers: {},
    body: new Uint8Array(),
    timeLeft: 600,
  },
};

const ANSWER: ForwardFrame = {
  kind: 'answer',
  answer: { status: 200, headers: {}, body: new Uint8Array() },
};

function listPeers(size: number): readonly InstanceEntry[] {
  return Array.from({ length: size }, (_, i) => ({
    id: `i${i}`,
    domain: `d${i % DOMAINS}`,
    address: { host: '127.0.0.1', port: i + 1 },
  }));
}

/** Forwarding of the first instance; `react` says what a peer does with a task. */
function createBed(size: number, react: (peer: string, listener: ForwardListener) => void) {
  const timers = createVirtualTimers();
  const instances = listPeers(size);
  const asked: string[] = [];
  const tasks: ForwardTask[] = [];
  const self = instances[0] as InstanceEntry;
  const peers = createForwardPeers({
    timers,
    random: createRandom(1),
    self,
    listInstances: () => instances,
  });
  const forwarding = createRelayForwarding({
    timers,
    peers,
    openForward: ({ id }, task, listener) => {
      asked.push(id);
      tasks.push(task);
      timers.registerTimeout(PEER_DELAY, () => react(id, listener));
      return () => undefined;
    },
    onReached: () => undefined,
    onUnreached: () => undefined,
    onStep: () => undefined,
  });
  /** Opens a task and returns what its listener received. */
  function open(task: ForwardTask): string[] {
    const seen: string[] = [];
    forwarding.open(task, {
      onFrame: (frame) =>
        seen.push(frame.kind === 'connection' ? `sent ${frame.isSent}` : frame.kind),
      onNobody: () => seen.push('nobody'),
      onLost: () => seen.push('lost'),
    });
    return seen;
  }
  return { timers, asked, tasks, open, peers };
}

const serve = (listener: ForwardListener): void => {
  listener.onFrame({ kind: 'taken' });
  listener.onFrame(ANSWER);
};

describe('RelayForwarding', () => {
  [7, 680].forEach((size) => {
    it(`finds peers beside a domain that is cut off as a whole, and spreads the load: ${size} instances`, async () => {
      // Guards against an instance that keeps asking peers that are cut off as well, or one of the others only.
      const { timers, asked, open } = createBed(size, (peer, listener) => {
        if (Number(peer.slice(1)) % DOMAINS === 0) {
          listener.onFrame({ kind: 'refused', reason: 'cut-off' });
        } else {
          serve(listener);
        }
      });
      const results: string[][] = [];
      for (let i = 0; i < 400; i++) {
        const task = { ...CALL, call: { ...CALL.call, server: `e${i % SERVERS}` } } as ForwardTask;
        results.push(open(task));
        await timers.advanceToAsync((i + 1) * 10);
      }
      await timers.advanceToAsync(10_000);
      expect(results.filter((seen) => !seen.includes('answer'))).to.deep.equal([]);
      expect(asked.length).to.be.below(1.1 * results.length + 10);
      const shares = [...new Set(asked)].map((id) => asked.filter((one) => one === id).length);
      expect(Math.max(...shares)).to.be.below(size === 7 ? 120 : 60);
    });
  });

  it('asks a peer for other servers that is cut off from one', async () => {
    // Guards against partial cuts after which every peer counts as cut off from all servers.
    const { timers, asked, open } = createBed(2, (_peer, listener) =>
      asked.length === 1
        ? listener.onFrame({ kind: 'refused', reason: 'cut-off' })
        : serve(listener),
    );
    const [refused, other] = ['e1', 'e2'].map((server) => {
      const task = { ...CALL, call: { ...CALL.call, server } } as ForwardTask;
      const seen = open(task);
      timers.advanceTo(timers.now() + 10);
      return seen;
    });
    await timers.advanceToAsync(100);
    expect(refused?.at(-1)).to.equal('nobody');
    expect(other?.at(-1)).to.equal('answer');
  });

  it('tells a task that nobody takes at once as one that has not run', async () => {
    // Guards against callers that wait while each instance of a fleet is asked in turn.
    const { timers, asked, open } = createBed(680, (_peer, listener) =>
      listener.onFrame({ kind: 'refused', reason: 'cut-off' }),
    );
    const seen = open(CALL);
    await timers.advanceToAsync(50);
    expect(seen.at(-1)).to.equal('nobody');
    expect(seen.at(-2)).to.equal('sent false');
    expect(asked.length).to.be.at.most(6);
  });

  it('gives a task to one peer only if that may have sent it', async () => {
    // Guards against a call that runs twice because the link to a peer broke after it had the task.
    for (const react of [
      (listener: ForwardListener) => listener.onClosed(true),
      () => undefined,
      (listener: ForwardListener) => {
        listener.onFrame({ kind: 'taken' });
        listener.onClosed(true);
      },
    ]) {
      const { timers, asked, open } = createBed(20, (_peer, listener) => react(listener));
      const seen = open(CALL);
      await timers.advanceToAsync(2000);
      expect(seen.at(-1)).to.equal('lost');
      expect(asked).to.have.length(1);
    }
  });

  it('asks the next peer if one could not be reached, is of an earlier version or is full', async () => {
    // Guards against a call that fails at the first peer that can't help.
    const answers = [
      (listener: ForwardListener) => listener.onClosed(false),
      (listener: ForwardListener) => listener.onFrame({ kind: 'refused', reason: 'unsupported' }),
      (listener: ForwardListener) => listener.onFrame({ kind: 'refused', reason: 'full' }),
      serve,
    ];
    const { timers, asked, tasks, open } = createBed(20, (_peer, listener) =>
      answers[asked.length - 1]?.(listener),
    );
    const seen = open(CALL);
    await timers.advanceToAsync(100);
    expect(seen.at(-1)).to.equal('answer');
    expect(new Set(asked).size).to.equal(4);
    const times = tasks.map((task) => ('call' in task ? task.call.timeLeft : 0));
    expect(times).to.deep.equal([600, 598, 596, 594]);
  });

  it('forgets what it knew of peers once it no longer counts', async () => {
    // Guards against tables that grow with each instance that was ever asked.
    const { timers, open, peers } = createBed(680, (_peer, listener) => serve(listener));
    for (let i = 0; i < 200; i++) {
      open(CALL);
      await timers.advanceToAsync((i + 1) * 50);
    }
    await timers.advanceToAsync(60_000);
    open(CALL);
    await timers.advanceToAsync(60_100);
    expect(peers.countPeers()).to.be.at.most(1);
  });
});
