/** Tasks for peers over HTTP: one request for each task, whose answer is the stream of its frames. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { Agent } from 'undici';
import type { Dispatcher } from 'undici';
import { createAnswerChecks } from '@skylarksail/connections/ConnectionAnswers';
import type { HostPort, Millis, Unregister } from '@skylarksail/core/CoreTypes';
import { registerHangUpListener } from '@skylarksail/daemon/DaemonHangUps';
import { createFrameReader, packFrame, packTask, readTask } from './RelayForwardMessages.js';
import type {
  ForwardFrame,
  ForwardListener,
  OpenForward,
  ServeForward,
} from './RelayForwardTypes.js';
import { ForwardRefusal, isLastFrame } from './RelayForwardTypes.js';

/** Path of the tasks at the peers' port. */
export const FORWARD_PATH = '/forward';

const Status = { Ok: 200, BadRequest: 400, NotFound: 404 } as const;
/** Streams of many callers run at once to one peer, each on a connection of its own. */
const CONNECTIONS_PER_PEER = 256;
const CONNECT_TIMEOUT: Millis = 150;
const IDLE_TIMEOUT: Millis = 4000;

export interface ForwardHttp {
  readonly open: OpenForward;
  close(): Promise<void>;
}

export function createForwardHttp(): ForwardHttp {
  const checks = createAnswerChecks(CONNECT_TIMEOUT);
  const agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    pipelining: 1,
    headersTimeout: 0,
    bodyTimeout: 0,
    keepAliveTimeout: IDLE_TIMEOUT,
    connect: checks.connect,
  });
  const checkedAgent = agent.compose(checks.intercept);
  return {
    open: (peer, task, listener) =>
      peer.address === null
        ? refuse(listener)
        : sendTask(checkedAgent, peer.address, packTask(task), listener),
    close: () => agent.destroy(),
  };
}

function refuse(listener: ForwardListener): () => void {
  queueMicrotask(() => listener.onClosed(false));
  return () => undefined;
}

function sendTask(
  agent: Dispatcher,
  { host, port }: HostPort,
  body: Buffer,
  listener: ForwardListener,
): () => void {
  const reader = createFrameReader();
  let controller: Dispatcher.DispatchController | null = null;
  let isSent = false;
  let isOver = false;

  function abort(): void {
    controller?.abort(new Error('task ended'));
  }

  function deliver(frame: ForwardFrame): void {
    if (!isOver) {
      isOver = isLastFrame(frame);
      listener.onFrame(frame);
    }
  }

  function close(): void {
    if (!isOver) {
      isOver = true;
      listener.onClosed(isSent);
    }
  }

  agent.dispatch(
    { origin: `http://${host}:${port}`, path: FORWARD_PATH, method: 'POST', body },
    {
      onRequestStart(started) {
        controller = started;
        isSent = !isOver;
        if (isOver) {
          abort();
        }
      },
      onResponseStart(_controller, status) {
        if (status !== Status.Ok) {
          // An instance of an earlier version doesn't know the path.
          deliver({ kind: 'refused', reason: ForwardRefusal.Unsupported });
        }
      },
      onResponseData(_controller, chunk) {
        if (isOver) {
          // All that may come now belongs to nothing, and may have no end.
          abort();
          return;
        }
        try {
          reader.push(chunk).forEach(deliver);
        } catch {
          close();
          abort();
        }
      },
      onResponseEnd: close,
      onResponseError: close,
    },
  );
  return () => {
    isOver = true;
    abort();
  };
}

/** Serves one task that waited for a time; its end at the asking instance cancels it here. */
export function serveTask(
  body: Buffer,
  req: IncomingMessage,
  res: ServerResponse,
  serve: ServeForward,
  waited: Millis = 0,
): void {
  const task = readTask(body);
  if (task === null) {
    res.writeHead(Status.BadRequest).end();
    return;
  }
  res.writeHead(Status.Ok, { 'content-type': 'application/octet-stream' });
  req.socket.setNoDelay(true);
  let isEnded = false;
  let cancel: Unregister = () => undefined;
  registerHangUpListener(req, res, () => {
    if (!isEnded) {
      isEnded = true;
      cancel();
    }
  });
  if (isEnded) {
    return;
  }
  cancel = serve(
    task,
    (frame) => {
      if (isLastFrame(frame)) {
        isEnded = true;
        res.end(packFrame(frame));
      } else {
        res.write(packFrame(frame));
      }
    },
    waited,
  );
}
