import { createServer } from 'node:http';
import type { Server } from 'node:http';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { runCli } from '../../CliMain.js';

interface Reply {
  readonly status: number;
  readonly body: unknown;
}

describe('CliMain', () => {
  let server: Server;
  let url: string;
  let directory: string;
  let replies: Record<string, Reply>;
  let received: { readonly path: string; readonly body: string }[];

  before(async () => {
    directory = mkdtempSync(join(tmpdir(), 'skylarksail-cli-'));
    server = createServer((req, res) => {
      let body = '';
      req.on('data', (chunk: Buffer) => {
        body += chunk.toString();
      });
      req.on('end', () => {
        const path = req.url ?? '';
        received.push({ path, body });
        const reply = replies[path.split('?')[0] ?? ''] ?? { status: 404, body: {} };
        res.writeHead(reply.status, { 'content-type': 'application/json' });
        res.end(JSON.stringify(reply.body));
      });
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    url = `http://127.0.0.1:${(server.address() as { port: number }).port}`;
  });
  after(() => {
    server.close();
    server.closeAllConnections();
    rmSync(directory, { recursive: true });
  });
  beforeEach(() => {
    replies = {};
    received = [];
  });

  async function run(...args: string[]): Promise<{ code: number; out: string; err: string }> {
    let out = '';
    let err = '';
    const code = await runCli(['node', 'skylarksail', '--server', url, ...args], {
      write: (text) => {
        out += text;
      },
      writeError: (text) => {
        err += text;
      },
      isTerminal: false,
    });
    return { code, out, err };
  }

  function writeManifest(manifest: unknown): string {
    const path = join(directory, 'manifest.json');
    writeFileSync(path, JSON.stringify(manifest));
    return path;
  }

  it('validates without calling any instance, and reports every fault with its path', async () => {
    const valid = await run(
      'manifest',
      'validate',
      writeManifest({ schema: 1, domains: [{ id: 'a' }] }),
    );
    expect(valid.code).to.equal(0);
    const invalid = await run(
      'manifest',
      'validate',
      writeManifest({ schema: 1, domains: [{ id: 'a' }, { id: 'a' }], teams: [{ id: 'T' }] }),
    );
    expect(invalid.code).to.equal(3);
    expect(invalid.err).to.contain('teams[0].id').and.to.contain('teams[0].keyHashes');
    expect(received).to.deep.equal([]);
  });

  // Two pipelines submit at the same time, and the other one wins. If a conflict has no exit code of its own, or the
  // id changes between retries, the pipeline takes the conflict for its own success or submits the change twice.
  it('sends the given submission id, and exits with the code for a conflict', async () => {
    const path = writeManifest({ schema: 1, domains: [{ id: 'a' }] });
    replies['/v1/manifest'] = { status: 409, body: { winning_revision: 7 } };
    const lost = await run('manifest', 'submit', path, '--id', 'build-1', '--expect', '6');
    expect(lost.code).to.equal(4);
    expect(lost.err).to.contain('revision 7');
    expect(JSON.parse(received[0]?.body ?? '')).to.include({
      submission_id: 'build-1',
      expected_revision: 6,
    });
  });

  it('names the instances that have not confirmed when a wait times out', async () => {
    replies['/v1/manifest/in-force'] = {
      status: 200,
      body: {
        revision: 3,
        accepted: true,
        in_force: false,
        domains: [{ domain: 'a', confirmed: 1, total: 2, missing: ['entry-2'] }],
      },
    };
    const timedOut = await run('manifest', 'wait', '3', '--timeout', '0.01');
    expect(timedOut.code).to.equal(5);
    expect(timedOut.out).to.contain('not confirmed: entry-2');
  });

  it('prints JSON, and has separate exit codes for wrong usage and unreachable instances', async () => {
    replies['/v1/status'] = {
      status: 200,
      body: {
        instance: 'entry-1',
        domain: 'a',
        ready: true,
        manifest: { revision: 3, source: 'platform' },
        running: 0,
        queued: 0,
        engines: { live: 4, known: 4 },
        members: 2,
      },
    };
    const status = await run('--json', 'status');
    expect(JSON.parse(status.out)[0].report.instance).to.equal('entry-1');
    expect((await run('nonsense')).code).to.equal(2);
    const unreachable = await run('--server', 'http://127.0.0.1:1', 'status');
    expect(unreachable.code).to.equal(6);
  });

  it('prints a completion script with the subcommands', async () => {
    const { out } = await run('completion');
    expect(out).to.contain('"manifest") words="validate submit wait show diff history"');
  });
});
