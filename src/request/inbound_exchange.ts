/**
 * Executes requests that other nodes forward to the upstream of this host.
 */
import type {ExecutionResult} from '../connection/execution.js';
import type {IncomingHop} from '../connection/incoming_hop.js';
import type {CallOrigin} from '../process/retries/in_flight_parents.js';
import {NO_CALLS} from '../process/admission/call_trees.js';
import {LEAST_IMPORTANT} from '../process/admission/importance.js';
import type {PeerPositions} from '../process/membership/peer_positions.js';
import type {LoadReport} from '../process/admission/load_table.js';
import {createRetryGrant} from '../process/retries/shared_retry_grant.js';
import type {
  HopResponse,
  LoadFields,
  OriginFields,
} from '../protocol/hop_messages.js';
import type {LocalCall} from './local_call.js';
import type {LocalExecution} from './local_execution.js';

/** Handles requests of other nodes. */
export interface InboundExchanges {
  handle(hop: IncomingHop): Promise<void>;
  /** Load reports in response to another node's query. */
  loads(): readonly LoadFields[];
}

/** Dependencies of the inbound exchanges. */
export interface InboundOptions {
  readonly execution: LocalExecution;
  readonly peerPositions: PeerPositions;
  /** Load of the local upstream. */
  readonly ownLoad: () => LoadReport | undefined;
  /** Loads of other upstreams to report to senders. */
  readonly otherLoads: () => readonly LoadReport[];
  readonly nowMillis: () => number;
  readonly onEnd: (call: LocalCall, result: ExecutionResult) => void;
}

/** Creates the inbound exchanges of a node. */
export function createInboundExchanges(
  options: InboundOptions,
): InboundExchanges {
  return {
    loads: () => loadsFor(options, true),
    handle: async hop => {
      options.peerPositions.recordPeerPosition(hop.request.knownPosition);
      const call = callOf(options, hop);
      const result = await options.execution.execute(call);
      options.onEnd(call, result);
      const unspentCount = call.origin.grant.close();
      hop.answer({
        answer: {
          ...outcomeOf(result),
          unspentCount,
          loads: loadsFor(options, hop.isLoadReportDue()),
          knownPosition: options.peerPositions.applied,
        },
        received: result.kind === 'answered' ? result.answer : undefined,
      });
    },
  };
}

function callOf(options: InboundOptions, hop: IncomingHop): LocalCall {
  const {request} = hop;
  const now = options.nowMillis();
  return {
    attemptId: request.attemptId,
    upstreamId: request.upstreamId,
    callerService: request.callerService,
    method: request.method,
    target: request.target,
    headers: request.headers,
    isRepeatable: request.isRepeatable,
    origin: originOf(request.origin, now),
    deadlineMillis: now + request.leftMillis,
    startByMillis: now + request.startWithinMillis,
    usualMillis: request.usualMillis,
    fetchBody: hop.fetchBody,
    cancel: hop.cancel,
    onSuspected: hop.reportSuspected,
  };
}

function originOf(fields: OriginFields, now: number): CallOrigin {
  const importance = Math.floor(fields.importance);
  return {
    importance: Math.min(LEAST_IMPORTANT, Math.max(0, importance)),
    organisationName: fields.organisationName,
    rootId: fields.rootId,
    rootRouteName: fields.rootRouteName,
    rootBeganAtMillis: now - fields.rootAgeMillis,
    isRepeat: fields.isRepeat,
    grant: createRetryGrant(fields.repeatsCount),
  };
}

/** The local load is in every response; loads of others only when a report is due. */
function loadsFor(
  options: InboundOptions,
  isReportDue: boolean,
): readonly LoadFields[] {
  const own = options.ownLoad();
  const others = isReportDue ? options.otherLoads() : [];
  const reports = own === undefined ? others : [own, ...others];
  const now = options.nowMillis();
  return reports.map(report => ({
    ...report,
    ageMillis: now - report.madeAtMillis,
  }));
}

type OutcomeFields = Pick<
  HopResponse,
  'outcome' | 'reason' | 'hasFailedCall' | 'calls' | 'crashesCount'
>;

function outcomeOf(result: ExecutionResult): OutcomeFields {
  switch (result.kind) {
    case 'answered':
      return {
        outcome: 'answered',
        reason: 'none',
        hasFailedCall: result.hasFailedCall,
        calls: result.calls,
      };
    case 'refused':
      return {
        outcome: 'refused',
        reason: result.reason,
        hasFailedCall: false,
        calls: NO_CALLS,
      };
    case 'unknown':
      return {
        outcome: 'unknown',
        reason: result.reason,
        hasFailedCall: result.hasFailedCall,
        calls: NO_CALLS,
        crashesCount: result.crashesCount,
      };
  }
}
