/** Notices clients that leave while a request of theirs is under way. */
import type { IncomingMessage, ServerResponse } from 'node:http';

/**
 * Calls `listener` once when the client closes its connection before its response is complete: as soon as the end of its
 * bytes is read, as the connection itself stays open until all that was written has been sent. Calls it at once if that end
 * has been read already.
 */
export function registerHangUpListener(
  { socket }: Pick<IncomingMessage, 'socket'>,
  res: ServerResponse,
  listener: () => void,
): void {
  let isOver = false;

  function notify(): void {
    if (!isOver) {
      isOver = true;
      socket.off('end', notify);
      listener();
    }
  }

  if (res.destroyed || socket.readableEnded) {
    notify();
    return;
  }
  socket.once('end', notify);
  res.once('close', () => {
    if (res.writableFinished) {
      isOver = true;
      socket.off('end', notify);
    } else {
      notify();
    }
  });
}
