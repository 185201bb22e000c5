/** Virtual links with a delay, a rate that serves transfers one after another, and faults. */
import { MILLIS_PER_SECOND } from '@skylarksail/core/CoreConstants';
import type { EngineFacts } from '@skylarksail/core/CoreEngine';
import type { TimerService } from '@skylarksail/core/CoreTimers';
import type { Millis } from '@skylarksail/core/CoreTypes';

/** Link between two engines. Links with the same key share its rate; a null key means no limit. */
export interface VirtualLink {
  readonly key: string | null;
  readonly bytesPerSecond: number;
  readonly delayMs: Millis;
}

export type GetVirtualLink = (from: EngineFacts, to: EngineFacts) => VirtualLink;

/** Fault of a link: its rate is divided by `factor`, or nothing arrives. */
export type VirtualLinkFault = { readonly factor: number } | { readonly cut: true };

/** Returns the current fault of the link between two engines, or null. */
export type GetLinkFault = (from: EngineFacts, to: EngineFacts) => VirtualLinkFault | null;

export interface VirtualLinks {
  /** Sends `bytes`; `onArrived` is called when they arrive, or never if the link is cut. */
  send(from: EngineFacts, to: EngineFacts, bytes: number, onArrived: () => void): void;
  /** Sets the link faults for transfers sent from now on; null clears them. */
  setFault(getFault: GetLinkFault | null): void;
}

/** Shorter delays are treated as zero, which avoids a timer. */
const IMMEDIATE_MS = 0.001;

export function createVirtualLinks(timers: TimerService, getLink: GetVirtualLink): VirtualLinks {
  const busyUntil = new Map<string, Millis>();
  let getFault: GetLinkFault | null = null;

  function getTransferEnd(link: VirtualLink, bytes: number, factor: number): Millis {
    const now = timers.now();
    if (link.key === null) {
      return now;
    }
    const start = Math.max(now, busyUntil.get(link.key) ?? 0);
    const end = start + (bytes * factor * MILLIS_PER_SECOND) / link.bytesPerSecond;
    busyUntil.set(link.key, end);
    return end;
  }

  return {
    setFault(next) {
      getFault = next;
    },
    send(from, to, bytes, onArrived) {
      const fault = getFault?.(from, to) ?? null;
      if (fault && 'cut' in fault) {
        return;
      }
      const link = getLink(from, to);
      const end = getTransferEnd(link, bytes, fault?.factor ?? 1);
      const wait = end + link.delayMs - timers.now();
      if (wait < IMMEDIATE_MS) {
        onArrived();
      } else {
        timers.registerTimeout(wait, onArrived);
      }
    },
  };
}
