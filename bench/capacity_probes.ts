/**
 * All capacity probes, in the order in which they are measured.
 */
import {
  createCallsProbe,
  createInProgressProbe,
} from './capacity_call_probes.js';
import {createPartsProbe} from './capacity_parts_probe.js';
import type {CapacityProbe} from './capacity_probe.js';
import {
  createHostsProbe,
  createKeysProbe,
  createPolicyProbe,
} from './capacity_state_probes.js';
import {
  createConfirmationsProbe,
  createExchangesProbe,
  createHopsProbe,
  createPullsProbe,
  createStatusesProbe,
  createStreamsProbe,
} from './capacity_stream_probes.js';

/** Lists the probes. */
export function createCapacityProbes(): readonly CapacityProbe[] {
  return [
    createPartsProbe(),
    createHostsProbe(),
    createPolicyProbe(),
    createKeysProbe(),
    createStreamsProbe(),
    createExchangesProbe(),
    createPullsProbe(),
    createStatusesProbe(),
    createConfirmationsProbe(),
    createHopsProbe(),
    createCallsProbe(),
    createInProgressProbe(),
  ];
}
