/** Notices clients that leave while a request of theirs is under way. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Unregister } from '@skylarksail/core/CoreTypes';
import { afterReading } from './DaemonTimers.js';

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

/** Whether a request had been begun when its client left. */
export const HangUpStage = {
  /** The request was not begun. */
  Unbegun: 'unbegun',
  /** It had been begun in the last turn or two of the event loop, so the close of the connection may have arrived before. */
  JustBegun: 'just-begun',
  Begun: 'begun',
} as const;

/** A value of `HangUpStage`. */
export type HangUpStageName = (typeof HangUpStage)[keyof typeof HangUpStage];

/**
 * Begins a request once the close of its client's connection would have been read, unless the client has left: the event
 * loop reads the close one turn after the request. `begin` returns a function that cancels the request; `onLeft` is called if the
 * client leaves before the response is complete.
 */
export function beginUnlessLeft(
  req: Pick<IncomingMessage, 'socket'>,
  res: ServerResponse,
  begin: () => Unregister,
  onLeft: (stage: HangUpStageName) => void = () => undefined,
): void {
  let stage: HangUpStageName = HangUpStage.Unbegun;
  let hasLeft = false;
  let cancel: Unregister = () => undefined;
  registerHangUpListener(req, res, () => {
    hasLeft = true;
    cancel();
    onLeft(stage);
  });
  afterReading(() => {
    if (hasLeft) {
      return;
    }
    stage = HangUpStage.JustBegun;
    afterReading(() => {
      stage = HangUpStage.Begun;
    });
    cancel = begin();
  });
}
