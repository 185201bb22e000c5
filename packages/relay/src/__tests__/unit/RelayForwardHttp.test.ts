import { expect } from 'chai';
import fc from 'fast-check';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { RequestListener } from 'node:http';
import { createChain } from '@skylarksail/core/CoreChain';
import type { EngineCall } from '@skylarksail/requests/RequestPorts';
import { createForwardHttp, serveTask } from '../../RelayForwardHttp.js';
import { createFrameReader, packFrame, packTask, readTask } from '../../RelayForwardMessages.js';
import type { ForwardFrame, ForwardTask, ServeForward } from '../../RelayForwardTypes.js';
import type { InstanceEntry } from '../../RelayTypes.js';

const VARIANT = { model: 'm', version: 'v1', adapter: null };

function createTask(): ForwardTask {
  const chain = createChain(VARIANT, 4, [{ engine: 'e1', layers: { first: 0, end: 4 } }]);
  if (!chain.ok) {
    throw new Error('the stages form a chain');
  }
  return {
    kind: 'engine-call',
    hasPermit: true,
    call: {
      request: 'r',
      attempt: 2,
      chain: chain.value,
      team: 't',
      original: { method: 'POST', path: '/p', headers: { a: 'b' }, body: Buffer.from('body') },
      prompt: 'a prompt that the body holds',
      contextTokens: 900,
      isYielding: true,
      resumeTokens: ['one', 'two'],
      maxTokens: 9,
      priority: 'high',
      timeLeft: 123.5,
      importFrom: [],
    },
  };
}

async function listen(handle: RequestListener) {
  const server = createServer(handle);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const peer: InstanceEntry = { id: 'p', domain: 'd', address: { host: '127.0.0.1', port } };
  const close = (): void => {
    server.close();
    server.closeAllConnections();
  };
  return { peer, close };
}

async function listenFor(serve: ServeForward) {
  return listen((req, res) => {
    const chunks: Buffer[] = [];
    req.on('data', (chunk: Buffer) => chunks.push(chunk));
    req.on('end', () => serveTask(Buffer.concat(chunks), req, res, serve));
  });
}

const TOKENS: readonly ForwardFrame[] = [
  { kind: 'taken' },
  { kind: 'acknowledged', acknowledgement: { variant: VARIANT, stages: [] } },
  ...Array.from({ length: 20 }, (_, index): ForwardFrame => ({
    kind: 'token',
    index,
    token: `t${index}`,
  })),
  { kind: 'end', reason: 'stop', tokenCount: 20 },
];

describe('RelayForwardMessages', () => {
  it('read a call without its number of prompt tokens if that is invalid', () => {
    // Guards against calls that peers refuse because the caller's own header told an odd number of tokens.
    const task = createTask();
    for (const [sent, read] of [
      [900.5, 900.5],
      [-1, undefined],
      [Infinity, undefined],
    ] as const) {
      const call = { ...('call' in task ? task.call : {}), contextTokens: sent };
      const received = readTask(packTask({ ...task, call } as unknown as ForwardTask));
      expect(received?.kind).to.equal('engine-call');
      expect((received as { readonly call: EngineCall }).call.contextTokens).to.equal(read);
    }
  });
});

describe('RelayForwardHttp', () => {
  it('passes a task to a peer and its frames back in order', async () => {
    const received: ForwardTask[] = [];
    const { peer, close } = await listenFor((task, send) => {
      received.push(task);
      TOKENS.forEach(send);
      return () => undefined;
    });
    const http = createForwardHttp();
    const frames: ForwardFrame[] = [];
    await new Promise<void>((resolve) => {
      http.open(peer, createTask(), {
        onFrame: (frame) => {
          frames.push(frame);
          if (frame.kind === 'end') {
            resolve();
          }
        },
        onClosed: () => resolve(),
      });
    });
    expect(frames).to.deep.equal(TOKENS);
    const [task] = received;
    const sent = createTask();
    expect(task?.kind === 'engine-call' && task.call.resumeTokens).to.deep.equal(['one', 'two']);
    expect(task?.kind === 'engine-call' && task.call.prompt).to.equal('');
    expect(
      task?.kind === 'engine-call' && Buffer.from(task.call.original?.body ?? []),
    ).to.deep.equal(Buffer.from('body'));
    expect(task?.kind === 'engine-call' && task.call.chain).to.deep.equal(
      sent.kind === 'engine-call' && sent.call.chain,
    );
    await http.close();
    close();
  });

  it('cancels a task at the peer when its caller leaves', async () => {
    // Guards against work that goes on at an engine for a caller that has left the other instance.
    let cancelTask = (): void => undefined;
    const cancelled = new Promise<void>((resolve) => {
      cancelTask = resolve;
    });
    const { peer, close } = await listenFor((_task, send) => {
      send({ kind: 'taken' });
      return cancelTask;
    });
    const http = createForwardHttp();
    const closed: boolean[] = [];
    await new Promise<void>((resolve) => {
      const cancel = http.open(peer, createTask(), {
        onFrame: () => {
          cancel();
          resolve();
        },
        onClosed: (isSent) => closed.push(isSent),
      });
    });
    await cancelled;
    expect(closed).to.deep.equal([]);
    await http.close();
    close();
  });

  it('tells whether a peer may have received the task when its connection fails', async () => {
    // Guards against a call that is taken for not run although a peer had it, and the other way round.
    const { peer, close } = await listen((req) => req.socket.destroy());
    const http = createForwardHttp();
    const open = (to: InstanceEntry): Promise<boolean> =>
      new Promise((resolve) => {
        http.open(to, createTask(), { onFrame: () => undefined, onClosed: resolve });
      });
    expect(await open(peer)).to.equal(true);
    close();
    expect(await open({ ...peer, address: { host: '127.0.0.1', port: 1 } })).to.equal(false);
    expect(await open({ ...peer, address: null })).to.equal(false);
    await http.close();
  });

  it('takes the answer of an earlier version, which does not know the path, for a refusal', async () => {
    const { peer, close } = await listen((_req, res) => res.writeHead(404).end());
    const http = createForwardHttp();
    const frame = await new Promise<ForwardFrame>((resolve) => {
      http.open(peer, createTask(), { onFrame: resolve, onClosed: () => undefined });
    });
    expect(frame).to.deep.equal({ kind: 'refused', reason: 'unsupported' });
    await http.close();
    close();
  });

  it('reads frames however they are cut, and refuses what is none', () => {
    const bytes = Buffer.concat(TOKENS.map(packFrame));
    fc.assert(
      fc.property(fc.array(fc.nat(bytes.byteLength), { maxLength: 12 }), (cuts) => {
        const reader = createFrameReader();
        const ends = [...cuts.sort((a, b) => a - b), bytes.byteLength];
        const frames = ends.flatMap((end, i) => [
          ...reader.push(bytes.subarray(i === 0 ? 0 : ends[i - 1], end)),
        ]);
        expect(frames).to.deep.equal(TOKENS);
      }),
      { seed: 1 },
    );
    expect(() => createFrameReader().push(Buffer.from([255, 255, 255, 255]))).to.throw();
    fc.assert(
      fc.property(fc.uint8Array({ maxLength: 60 }), (noise) => {
        expect(readTask(Buffer.from(noise))).to.equal(null);
      }),
      { seed: 1 },
    );
    expect(readTask(packTask(createTask()))).to.not.equal(null);
  });
});
