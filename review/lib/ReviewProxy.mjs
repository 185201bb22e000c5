/** A proxy whose open connections can go silent for good, while new ones work. */
import { connect, createServer } from 'node:net';
import { HOST } from './ReviewFleet.mjs';

/** Starts a proxy before an address of this machine. */
export async function startSilencingProxy(target) {
  const port = Number(target.split(':')[1]);
  const links = new Set();
  const server = createServer((near) => {
    const far = connect(port, HOST);
    const link = { isSilent: false };
    links.add(link);
    near.on('data', (chunk) => link.isSilent || far.write(chunk));
    far.on('data', (chunk) => link.isSilent || near.write(chunk));
    near.on('error', () => far.destroy());
    far.on('error', () => undefined);
    near.on('close', () => {
      links.delete(link);
      far.destroy();
    });
    far.on('close', () => link.isSilent || near.destroy());
  });
  await new Promise((resolve) => {
    server.listen(0, HOST, resolve);
  });
  return {
    address: `${HOST}:${server.address().port}`,
    /** Nothing passes the connections that are open now any more; they stay open. Returns their number. */
    silence() {
      const working = [...links].filter(({ isSilent }) => !isSilent);
      working.forEach((link) => Object.assign(link, { isSilent: true }));
      return working.length;
    },
    close: () => server.close(),
  };
}
