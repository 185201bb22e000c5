/**
 * Decides for which models requests share the memory of engines by need. By itself that begins where memory limits the engines
 * and the instances are too many to know each other's work without reports. It doesn't end again: a fleet that has lost most of
 * its instances is placed and served as before the loss.
 */
import type { PipelineFacts } from '@skylarksail/routes/RouteTypes';
import { isMemoryBound } from './RelayFacts.js';
import { MAX_UNSHARED_FLEET } from './RelayFanout.js';
import type { MemorySharingName } from './RelayTuning.js';
import { MemorySharing } from './RelayTuning.js';

export interface RelaySharingOptions {
  readonly setting: MemorySharingName;
  /** Number of live instances of the fleet. */
  readonly countInstances: () => number;
  /** Called when the instances have become too many. */
  readonly onBegin: () => void;
}

export interface RelaySharing {
  isShared(pipeline: PipelineFacts): boolean;
  /** Looks at the size of the fleet again. */
  refresh(): void;
}

export function createRelaySharing(options: RelaySharingOptions): RelaySharing {
  let isLargeFleet = false;
  return {
    isShared: (pipeline) =>
      options.setting === MemorySharing.Auto
        ? isLargeFleet && isMemoryBound(pipeline)
        : options.setting === MemorySharing.On,
    refresh() {
      if (!isLargeFleet && options.countInstances() > MAX_UNSHARED_FLEET) {
        isLargeFleet = true;
        options.onBegin();
      }
    },
  };
}
