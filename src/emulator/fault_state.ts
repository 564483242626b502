/**
 * The fault that an emulated upstream currently injects.
 */
import type {FaultMode, UpstreamFault} from './upstream_config.js';
import {NO_FAULT} from './upstream_config.js';

/** Fault of one emulated upstream. */
export interface FaultState {
  current(): UpstreamFault;
  /** Replaces the given fields; others keep their values. */
  set(change: Partial<UpstreamFault>): void;
  /** Returns the mode for one request and decrements the remaining count. */
  consumeMode(path: string): FaultMode;
}

/** Creates a state without a fault. */
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
