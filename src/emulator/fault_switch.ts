/**
 * The fault that a stand-in for an upstream shows at the moment.
 */
import type {FaultMode, UpstreamFault} from './upstream_config.js';
import {NO_FAULT} from './upstream_config.js';

/** Fault of one stand-in. */
export interface FaultSwitch {
  current(): UpstreamFault;
  /** Changes the named parts. */
  set(change: Partial<UpstreamFault>): void;
  /** Takes the fault for one request, using up its remaining count. */
  takeMode(path: string): FaultMode;
}

/** Creates a switch without a fault. */
export function createFaultSwitch(): FaultSwitch {
  let fault = NO_FAULT;
  return {
    current: () => fault,
    set: change => {
      fault = {...fault, ...change};
    },
    takeMode: path => {
      const {mode, remainingCount, pathPrefix} = fault;
      if (mode === 'none' || !path.startsWith(pathPrefix)) return 'none';
      if (remainingCount === null) return mode;
      if (remainingCount <= 0) return 'none';
      fault = {...fault, remainingCount: remainingCount - 1};
      return mode;
    },
  };
}
