/**
 * Unit and effect of each policy field, as in the policy reference. A test checks
 * that this table, the schema and the reference page match.
 */

/** Description of one field for operators. */
export interface FieldGuide {
  /** Undefined for names, enumerations and lists. */
  readonly unit: string | undefined;
  /** Effect of the value; text between backquotes is code. */
  readonly effect: string;
}

/** Keyed by schema path, for example `services[].routes[].path`. */
export const FIELD_GUIDES: Readonly<Record<string, FieldGuide>> = {
  formatVersion: {unit: undefined, effect: 'Format of the document.'},
  version: {
    unit: undefined,
    effect: 'Must grow with every change; the highest accepted one counts.',
  },
  deployment: {
    unit: undefined,
    effect:
      'Fixed for the life of a deployment; a document of another deployment is refused.',
  },
  availabilityZones: {
    unit: undefined,
    effect: 'Zones of the deployment, with distinct names.',
  },
  'availabilityZones[].name': {
    unit: undefined,
    effect: 'Name as in the settings of the hosts and in the host list.',
  },
  'availabilityZones[].region': {
    unit: undefined,
    effect: 'Region of the zone.',
  },
  classes: {
    unit: undefined,
    effect:
      'Classes of importance, with distinct names. A call made on behalf of a request has the class of that request.',
  },
  'classes[].name': {unit: undefined, effect: 'Referred to by routes.'},
  'classes[].reservedRatio': {
    unit: 'share of the limit',
    effect:
      "Share of each upstream's limit that lower classes leave free. Higher: this class waits less in a surge, and lower classes get less at all times.",
  },
  services: {
    unit: undefined,
    effect: 'Groups of equal upstreams, with distinct names.',
  },
  'services[].name': {
    unit: undefined,
    effect: 'First label of the `Host` header that callers send.',
  },
  'services[].slotsCount': {
    unit: 'calls',
    effect:
      'Calls that one upstream executes at the same time; the adaptive limit starts from it.',
  },
  'services[].connectionsCount': {
    unit: 'connections',
    effect: 'Connections that one upstream accepts.',
  },
  'services[].queueCount': {
    unit: 'calls',
    effect:
      'Calls that may wait at one upstream. 0: a call that finds no free slot is refused at once.',
  },
  'services[].queueWaitMillis': {
    unit: 'ms',
    effect:
      'Longest wait there; then the call is refused as not run. Must be below the deadline of every route of the service. Longer waits turn a surge into late answers.',
  },
  'services[].progressTimeoutMillis': {
    unit: 'ms',
    effect:
      'Longest silence of an attempt before it is given up. Shorter than a deadline, or no time is left for a retry (warning).',
  },
  'services[].routes': {
    unit: undefined,
    effect:
      'Requests that the service answers; all others are refused as `unknown-route`.',
  },
  'services[].routes[].name': {
    unit: undefined,
    effect: 'Name in counters and logs; distinct within the service.',
  },
  'services[].routes[].method': {unit: undefined, effect: 'HTTP method.'},
  'services[].routes[].path': {
    unit: undefined,
    effect: 'Pattern of the path without the query string.',
  },
  'services[].routes[].className': {
    unit: undefined,
    effect: 'Class of requests that enter here; must be one of `classes`.',
  },
  'services[].routes[].repeat': {
    unit: undefined,
    effect:
      '`safe`: reads only, may always be sent again. `idempotent`: may be sent again unless on behalf of a request that may not. `never`: not sent again once a byte may have reached an upstream.',
  },
  'services[].routes[].deadlineMillis': {
    unit: 'ms',
    effect:
      'Time from entry to the last byte of the answer; work past it is dropped.',
  },
  'services[].routes[].retryBound': {
    unit: 'retries',
    effect:
      'Retries that one request which enters here may cause over the whole chain, however deep or wide. Calls that services make spend from the grant of their request, not from this.',
  },
  'services[].routes[].isPublic': {
    unit: undefined,
    effect: 'Clients need no API key on this route.',
  },
  organisations: {
    unit: undefined,
    effect:
      'Organisations whose clients send API keys, with distinct names. Empty: clients need no key, and the `Authorization` header is passed on like any other.',
  },
  'organisations[].name': {
    unit: undefined,
    effect: 'Told to upstreams in `fulmarhollow-organisation`; named in logs.',
  },
  'organisations[].priority': {
    unit: undefined,
    effect:
      'Importance before that of classes; 0 is the highest. Calls made on behalf of a request inherit it.',
  },
  'organisations[].ratePerSecond': {
    unit: 'requests per second',
    effect:
      'Requests that may run in the whole deployment on average; more are refused with 429. 0: no limit.',
  },
  'organisations[].burstCount': {
    unit: 'requests',
    effect:
      'Requests that may run at once after a quiet time, on top of the rate.',
  },
  'organisations[].apiKeys': {
    unit: undefined,
    effect:
      'Keys of its clients, with distinct names; none is held by another organisation. Without any, its clients are refused.',
  },
  'organisations[].apiKeys[].name': {
    unit: undefined,
    effect: 'What operators call the key.',
  },
  'organisations[].apiKeys[].digest': {
    unit: undefined,
    effect:
      'Digest that `policy digest-key` prints; the key itself is in no document.',
  },
  'retryBudget.ratio': {
    unit: 'retries per first attempt',
    effect:
      'Retries allowed for each first attempt of a node. 0: only the minimum.',
  },
  'retryBudget.minimumPerSecond': {
    unit: 'retries per second',
    effect:
      'Retries a node may send without any first attempt, so that quiet nodes can retry.',
  },
  'bodies.requestBytes': {
    unit: 'bytes',
    effect:
      'Largest request body; a larger one is refused with `body-too-large`. A body is held in memory until its request ends.',
  },
  'bodies.bufferedAnswerBytes': {
    unit: 'bytes',
    effect:
      'Answers up to this size are held until complete, so that a break can be retried; larger ones are passed on as they arrive.',
  },
  'ejection.consecutiveFailuresCount': {
    unit: 'failures',
    effect:
      'Failures in a row after which a node sends no calls to a host for a while.',
  },
  'ejection.ejectionMillis': {
    unit: 'ms',
    effect: 'Length of the first ejection; repeated ones last longer.',
  },
  'ejection.floorRatio': {
    unit: 'share of hosts',
    effect:
      "Share of a service's hosts that stay in use whatever fails, so that a common cause does not empty the service.",
  },
  'timing.activationMillis': {
    unit: 'ms',
    effect:
      'Time from acceptance of a version until a host serves new requests under it. Should exceed the time a document takes to reach all hosts, so that none gets a call under a version it does not hold.',
  },
  'timing.slowStartMillis': {
    unit: 'ms',
    effect: 'Time in which a cold host goes up to its full share of traffic.',
  },
  'timing.drainMillis': {
    unit: 'ms',
    effect:
      'Longest wait for requests in flight at a planned stop. Should exceed the longest deadline.',
  },
  'timing.retryAfterMinimumMillis': {
    unit: 'ms',
    effect: 'Shortest time after which a refused caller is told to come back.',
  },
  'timing.retryAfterMaximumMillis': {
    unit: 'ms',
    effect: 'Longest such time, told under heavy load.',
  },
};
