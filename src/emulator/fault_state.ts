/**
 * The fault that a stand-in for an upstream shows at the moment.
 */
import type {FaultMode, UpstreamFault} from './upstream_config.js';
import {NO_FAULT} from './upstream_config.js';

/** Fault of one stand-in. */
export interface FaultState {
  current(): UpstreamFault;
  /** Changes the named parts. */
  set(change: Partial<UpstreamFault>): void;
  /** Takes the fault for one request, using up its remaining count. */
  consumeMode(path: string): FaultMode;
}

/** Creates a switch without a fault. */
export function createFaultState(): FaultState {
  let fault = NO_FAULT;
  return {
    current: () => fault,
    set: change => {
      fault = {...fault, ...change};
    },
    consumeMode: path => {
      const {mode, remainingCount, pathPrefix} = fault;
      if (mode === 'none' || !path.startsWith(pathPrefix)) return 'none';
      if (remainingCount === null) return mode;
      if (remainingCount <= 0) return 'none';
      fault = {...fault, remainingCount: remainingCount - 1};
      return mode;
    },
  };
}
