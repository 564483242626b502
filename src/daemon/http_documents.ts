/**
 * Reads the policy document and the host list from a configuration service over HTTP.
 */
import http from 'node:http';
import {describeError, TransportError} from '../base/errors.js';
import {createGatheredBytes} from '../base/gathered_bytes.js';
import type {
  DocumentChange,
  DocumentBatch,
  DocumentSource,
} from '../process/membership/document_source.js';
import {NO_POSITION} from '../process/membership/document_source.js';
import type {
  Decoded,
  PublishedDocuments,
} from '../process/membership/published_documents.js';
import type {UpstreamEntry} from '../process/membership/upstream_entry.js';
import {compilePolicy} from '../version/compiled_policy.js';
import type {PublishedHost} from '../version/host_list.js';
import {parseHostList} from '../version/host_list_schema.js';
import {MAX_DOCUMENT_BYTES} from '../version/json_document.js';
import type {Policy} from '../version/policy.js';
import {createPolicyRouteTable} from '../version/policy_routes.js';
import type {Problem} from '../version/problem.js';
import {formatProblem} from '../version/problem.js';

/** Paths of the configuration service. */
const PATH = {policy: '/v1/policy', hosts: '/v1/hosts'} as const;

/** Response timeout in addition to the requested wait. */
const RESPONSE_TIMEOUT_MILLIS = 3000;

/** Slots of an upstream whose service is not in the policy yet. */
const DEFAULT_SLOTS_COUNT = 1;

/** Maximum number of problems of a document in its log line. */
const MAX_LOGGED_PROBLEMS_COUNT = 50;

const STATUS_OK = 200;
const STATUS_NOT_MODIFIED = 304;
const STATUS_NOT_FOUND = 404;

/** Creates access to the documents at `platformUrl`. */
export function createHttpDocuments(platformUrl: string): PublishedDocuments {
  let policy: Policy | undefined;
  return {
    source: createDocumentSource(platformUrl),
    configurationPrefix: PATH.policy,
    upstreamsPrefix: PATH.hosts,
    sharedPrefix: undefined,
    listsAllUpstreams: true,
    decodeConfiguration: ({text}) => {
      if (text === undefined) return {kind: 'other'};
      const result = compilePolicy(Buffer.from(text));
      if (result.kind === 'invalid') return invalid(result.problems);
      const {deployment} = result.compiled.policy;
      // Protects against publishing another deployment's policy by mistake.
      if (policy !== undefined && policy.deployment !== deployment) {
        const allowed = policy.deployment;
        return invalid([{path: '$.deployment', value: deployment, allowed}]);
      }
      policy = result.compiled.policy;
      return {kind: 'valid', value: createPolicyRouteTable(result.compiled)};
    },
    decodeUpstreams: ({text}) => {
      if (text === undefined) return {kind: 'other'};
      const result = parseHostList(Buffer.from(text));
      if (result.kind === 'invalid') return invalid(result.problems);
      const entries = result.list.hosts.map(host =>
        entryOf(host, slotsOf(policy, host.service)),
      );
      return {kind: 'valid', value: entries};
    },
    upstreamIdOf: key => key,
  };
}

function invalid<T>(problems: readonly Problem[]): Decoded<T> {
  const logged = problems
    .slice(0, MAX_LOGGED_PROBLEMS_COUNT)
    .map(formatProblem);
  const moreCount = problems.length - logged.length;
  if (moreCount > 0) logged.push(`and ${String(moreCount)} more`);
  return {kind: 'invalid', reason: logged.join('; ')};
}

function slotsOf(policy: Policy | undefined, service: string): number {
  const known = policy?.services.find(({name}) => name === service);
  return known?.slotsCount ?? DEFAULT_SLOTS_COUNT;
}

/** The list has hosts, not upstream starts, so the host name is used as the id. */
function entryOf(host: PublishedHost, slotsCount: number): UpstreamEntry {
  return {
    id: host.name,
    bornMillis: undefined,
    sequenceNumber: undefined,
    service: host.service,
    hostKey: host.name,
    node: {address: host.address, port: host.peerPort},
    zone: host.availabilityZone,
    region: host.region,
    slotsCount,
    isDraining: host.state === 'leaving',
    coldLeftMillis: 0,
  };
}

/** The key of each document is its path, and each has its own version. */
function createDocumentSource(platformUrl: string): DocumentSource {
  const agent = new http.Agent({keepAlive: true});
  return {
    read: path => getDocument(new URL(path, platformUrl), agent, 0),
    watch: (path, afterRevision, waitMillis) => {
      const url = new URL(path, platformUrl);
      url.searchParams.set('after', String(afterRevision));
      url.searchParams.set('wait_ms', String(waitMillis));
      return getDocument(url, agent, waitMillis);
    },
    dispose: () => {
      agent.destroy();
    },
  };
}

function getDocument(
  url: URL,
  agent: http.Agent,
  waitMillis: number,
): Promise<DocumentBatch> {
  return new Promise((resolve, reject) => {
    const request = http.get(url, {agent});
    const timer = setTimeout(() => {
      request.destroy(new Error('no answer in time'));
    }, waitMillis + RESPONSE_TIMEOUT_MILLIS);
    const fail = (error: unknown): void => {
      clearTimeout(timer);
      request.destroy();
      const props = {step: 'read-documents', peer: url.host};
      reject(new TransportError(describeError(error), {props}));
    };
    request.on('error', fail);
    request.on('response', response => {
      readText(response, fail, text => {
        clearTimeout(timer);
        const batch = toDocumentBatch(url.pathname, response, text);
        if (batch !== undefined) resolve(batch);
        else fail(new Error(`status ${String(response.statusCode)}`));
      });
    });
  });
}

function readText(
  response: http.IncomingMessage,
  onFailure: (error: unknown) => void,
  onText: (text: string) => void,
): void {
  const body = createGatheredBytes();
  response.on('data', (chunk: Buffer) => {
    body.add(chunk);
    if (body.lengthBytes > MAX_DOCUMENT_BYTES) {
      onFailure(new Error('too large'));
    }
  });
  response.on('error', onFailure);
  response.on('end', () => {
    onText(body.take().toString('utf8'));
  });
}

/**
 * Returns `undefined` for an unexpected status. The epoch is always 0, so a document whose
 * version went back counts as not newer.
 */
function toDocumentBatch(
  key: string,
  response: http.IncomingMessage,
  text: string,
): DocumentBatch | undefined {
  const revision = revisionOf(response.headers.etag);
  switch (response.statusCode) {
    case STATUS_OK: {
      const change: DocumentChange = {key, revision, text};
      return {documents: [change], position: {epoch: 0, revision}};
    }
    case STATUS_NOT_MODIFIED:
    case STATUS_NOT_FOUND:
      return {documents: [], position: NO_POSITION};
    default:
      return undefined;
  }
}

/** Reads the version from an entity tag of the form `"12"`; 0 for any other. */
function revisionOf(etag: string | undefined): number {
  const digits = /^"(\d+)"$/.exec(etag ?? '')?.[1];
  return digits === undefined ? 0 : Number(digits);
}
