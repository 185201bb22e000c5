import { expect } from 'chai';
import { once } from 'node:events';
import { readdirSync, readFileSync } from 'node:fs';
import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { request } from 'undici';
import type { Stack } from '../../StackLauncher.js';
import { launchStack } from '../../StackLauncher.js';
import { DEFAULT_STACK_SIZE } from '../../StackPlan.js';

const HOST = '127.0.0.1';
const MIB = 2 ** 20;
/** Memory of the machine of these tests, in bytes. */
const MACHINE_MEMORY = 320 * MIB;
const MACHINE = { heapMb: 96, descriptors: 300 } as const;
const FREE_DESCRIPTORS = 64;
const PATIENCE_MS = 20_000;
const TEST_TIMEOUT_MS = 180_000;
const SETTLE_MS = 1000;
const KEY = 'Authorization: Bearer key-branches';
const ALL_WELL = {
  isAlive: true,
  isInMemory: true,
  hasFreeDescriptors: true,
  beside: 200,
  after: 200,
} as const;

/** Head of a request to the plain service of the stack. */
function writeHead(fields: readonly string[]): string {
  return ['POST /services/accounts/search HTTP/1.1', `Host: ${HOST}`, KEY, ...fields, '', ''].join(
    '\r\n',
  );
}

describe('A daemon beside clients outside the limits', function crowds() {
  this.timeout(TEST_TIMEOUT_MS);
  let stack: Stack;

  beforeEach(async () => {
    stack = await launchStack(
      { ...DEFAULT_STACK_SIZE, domains: 1, enginesPerDomain: 3, layers: 3 },
      MACHINE,
    );
  });

  afterEach(() => stack.stop());

  async function ask(): Promise<number | 'no answer'> {
    try {
      const res = await request(`${stack.daemons[0]?.callers}/services/accounts/search`, {
        method: 'POST',
        headers: { authorization: 'Bearer key-branches' },
        body: 'x'.repeat(60_000),
        reset: true,
        signal: AbortSignal.timeout(PATIENCE_MS),
      });
      await res.body.dump();
      return res.statusCode;
    } catch {
      return 'no answer';
    }
  }

  /** Opens connections to a port, and asks for something ordinary beside them and after they have gone. */
  async function play(
    port: 'callers' | 'admin',
    count: number,
    write: (socket: Socket) => void,
  ): Promise<object> {
    const [daemon] = stack.daemons;
    const pid = daemon?.process.child.pid ?? 0;
    const target = Number(new URL(daemon?.[port] ?? '').port);
    const sockets = Array.from({ length: count }, () => connect({ port: target, host: HOST }));
    await Promise.all(
      sockets.map(async (socket) => {
        socket.pause();
        socket.on('error', () => undefined);
        await Promise.race([once(socket, 'connect'), once(socket, 'close')]).catch(() => undefined);
        if (!socket.destroyed) {
          write(socket);
        }
      }),
    );
    await sleep(SETTLE_MS);
    const descriptors = countDescriptors(pid);
    const beside = await ask();
    sockets.forEach((socket) => socket.destroy());
    const after = await ask();
    return {
      isAlive: daemon?.process.child.exitCode === null && daemon.process.child.signalCode === null,
      isInMemory: readPeakMemory(pid) <= MACHINE_MEMORY,
      hasFreeDescriptors: descriptors <= MACHINE.descriptors - FREE_DESCRIPTORS,
      beside,
      after,
    };
  }

  it('lives beside requests ahead whose answers stay unread', async () => {
    // Guards against a process that parses all requests of each read into memory, and ends without heap.
    const ahead = Buffer.from(
      `GET /v1/models HTTP/1.1\r\nHost: h\r\n${KEY}\r\n\r\n`.repeat(20_000),
    );
    const seen = await play('callers', 60, (socket) => socket.write(ahead));
    expect(seen).to.deep.equal(ALL_WELL);
  });

  it('lives beside requests ahead at the path that says ready', async () => {
    // Guards against the same at the admin port.
    const ahead = Buffer.from('GET /readyz HTTP/1.1\r\nHost: h\r\n\r\n'.repeat(20_000));
    const seen = await play('admin', 60, (socket) => socket.write(ahead));
    expect(seen).to.deep.equal(ALL_WELL);
  });

  it('serves others while many bodies come in chunks of one byte', async () => {
    // Guards against a process that spends its memory and time on pieces, however few bytes they hold.
    const body = Buffer.from(
      writeHead(['Transfer-Encoding: chunked']) + '1\r\nx\r\n'.repeat(200_000),
    );
    const seen = await play('callers', 60, (socket) => socket.write(body));
    expect(seen).to.deep.equal(ALL_WELL);
  });

  it('stays within its memory while many bodies lack one byte', async () => {
    // Guards against bodies that are each inside the limit and together larger than the machine.
    const body = Buffer.alloc(MIB - 1, 'x');
    const seen = await play('callers', 230, (socket) => {
      socket.write(writeHead([`Content-Length: ${MIB}`]));
      socket.write(body);
    });
    expect(seen).to.deep.equal(ALL_WELL);
  });

  it("keeps descriptors for others beside silent connections at the callers' port", async () => {
    // Guards against connections to engines, the platform and peers that can't be made.
    expect(await play('callers', 400, () => undefined)).to.deep.equal(ALL_WELL);
  });

  it('keeps descriptors for others beside silent connections at the admin port', async () => {
    // Guards against the same through the port for operators.
    expect(await play('admin', 400, () => undefined)).to.deep.equal(ALL_WELL);
  });
});

function readPeakMemory(pid: number): number {
  try {
    const kib = /^VmHWM:\s*(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1];
    return Number(kib) * 1024;
  } catch {
    return Infinity;
  }
}

function countDescriptors(pid: number): number {
  try {
    return readdirSync(`/proc/${pid}/fd`).length;
  } catch {
    return Infinity;
  }
}
