/**
 * Answers of the administration listener, by path.
 */
import {describeError} from '../base/errors.js';
import type {FailureOrigin} from '../base/errors.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {Readiness} from '../process/readiness.js';
import type {Settings} from '../process/settings.js';
import type {StateDump} from '../process/state_dump.js';
import {HEADER} from '../protocol/headers.js';

/** What the listener can show. */
export interface AdminSources {
  readonly settings: Settings;
  readonly stateDump: StateDump;
  readonly metrics: Metrics;
  readonly policyStore: Pick<PolicyStore, 'inForce'>;
  readonly readiness: Readiness;
}

/** One answer, complete. */
export interface AdminAnswer {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
}

/** Body of every answer that is an error. */
export interface AdminErrorBody extends FailureOrigin {
  readonly message: string;
}

const STATE_SECTION_PREFIX = '/state/';
const PATHS =
  '/health, /ready, /state, /state/SECTION, /metrics, /policy, /settings';

/** Answers a request for a path without its query. */
export function answerAdminRequest(
  sources: AdminSources,
  method: string,
  path: string,
): AdminAnswer {
  const peer = sources.settings.hostName;
  if (method !== 'GET') {
    const message = `Method ${method} is not allowed; this listener only reads.`;
    const answer = adminError(405, {step: 'route', peer, message});
    return {...answer, headers: {...answer.headers, allow: 'GET'}};
  }
  try {
    return answerPath(sources, path);
  } catch (error) {
    const message = describeError(error);
    return adminError(500, {step: 'collect', peer, message});
  }
}

/** An error answer. */
export function adminError(
  statusCode: number,
  body: AdminErrorBody,
): AdminAnswer {
  return jsonAnswer(statusCode, body);
}

function answerPath(sources: AdminSources, path: string): AdminAnswer {
  switch (path) {
    case '/health':
      return jsonAnswer(200, {status: 'running'});
    case '/ready':
      return answerReady(sources.readiness);
    case '/state':
      return jsonAnswer(200, sources.stateDump.collect());
    case '/metrics':
      return jsonAnswer(200, {totals: sources.metrics.totals()});
    case '/policy':
      return answerPolicy(sources);
    case '/settings':
      return jsonAnswer(200, sources.settings);
    default:
      return answerSection(sources, path);
  }
}

function answerReady(readiness: Readiness): AdminAnswer {
  const reasons = readiness.waitingFor();
  const isReady = reasons.length === 0;
  return jsonAnswer(isReady ? 200 : 503, {ready: isReady, reasons});
}

/** The document byte for byte, so that its digest can be compared. */
function answerPolicy(sources: AdminSources): AdminAnswer {
  const policy = sources.policyStore.inForce();
  if (policy === undefined) {
    return adminError(503, {
      step: 'policy',
      peer: sources.settings.hostName,
      message: 'No policy is in force yet.',
    });
  }
  return {
    statusCode: 200,
    headers: {
      'content-type': 'application/json',
      etag: `"${policy.digest}"`,
      [HEADER.policyVersion]: String(policy.version),
    },
    body: policy.documentBytes,
  };
}

function answerSection(sources: AdminSources, path: string): AdminAnswer {
  const peer = sources.settings.hostName;
  if (!path.startsWith(STATE_SECTION_PREFIX)) {
    const message = `No such path; there are ${PATHS}.`;
    return adminError(404, {step: 'route', peer, message});
  }
  const sections = sources.stateDump.collect();
  const name = path.slice(STATE_SECTION_PREFIX.length);
  const section = Object.hasOwn(sections, name) ? sections[name] : undefined;
  if (section !== undefined) return jsonAnswer(200, section);
  const names = Object.keys(sections).sort().join(', ');
  const message = `No such state section; there are ${names}.`;
  return adminError(404, {step: 'route', peer, message});
}

function jsonAnswer(statusCode: number, content: unknown): AdminAnswer {
  return {
    statusCode,
    headers: {'content-type': 'application/json'},
    body: Buffer.from(`${JSON.stringify(content, undefined, 2)}\n`),
  };
}
