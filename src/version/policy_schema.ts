/**
 * Schema of the policy document. Every number has a range; only `isPublic` and
 * `organisations` may be omitted.
 */
import * as Effect from 'effect/Effect';
import * as Schema from 'effect/Schema';
import type {Policy} from './policy.js';
import {
  listField,
  nameField,
  numberField,
  ratioField,
  integerField,
  enumField,
} from './schema_fields.js';

const MINUTE_MILLIS = 60_000;
const HOUR_MILLIS = 60 * MINUTE_MILLIS;
const MEBIBYTE_BYTES = 1_048_576;

const MAX_ZONES = 64;
const MAX_CLASSES = 16;
const MAX_SERVICES = 256;
const MAX_ROUTES_PER_SERVICE = 512;
const MAX_CALLS_PER_UPSTREAM = 100_000;
const MAX_PATTERN_CHARS = 256;

const MAX_ORGANISATIONS = 2_000;
const MAX_KEYS_PER_ORGANISATION = 64;
const MAX_PRIORITY = 7;
const MAX_REQUESTS_PER_SECOND = 1_000_000;

const METHODS = [
  'GET',
  'HEAD',
  'POST',
  'PUT',
  'PATCH',
  'DELETE',
  'OPTIONS',
] as const;

/**
 * Literal segments, `:name` segments and at most one `*`, which is last.
 * Percent-encoding and dot segments are rejected: paths are decoded before they
 * are compared, and an upstream would resolve a dot segment to another path.
 */
const PATH_PATTERN =
  /^\/(?:(?!\.{1,2}(?:\/|$))(?:[A-Za-z0-9._~!$&'()+,;=@-]+|:[A-Za-z][A-Za-z0-9]*)(?:\/(?=.)|$))*\*?$/;

const pathField = Schema.String.annotate({
  description: `an absolute path of at most ${String(MAX_PATTERN_CHARS)} characters whose segments are literals without percent-encoding, \`:name\`, or a final \`*\``,
}).check(Schema.isPattern(PATH_PATTERN), Schema.isMaxLength(MAX_PATTERN_CHARS));

const digestField = Schema.String.annotate({
  description: 'the SHA-256 of an API key as 64 lower-case hex digits',
}).check(Schema.isPattern(/^[0-9a-f]{64}$/));

const millisField = (minimum: number, maximum: number) =>
  integerField({minimum, maximum}, 'milliseconds');

const bytesField = (minimum: number, maximum: number) =>
  integerField({minimum, maximum}, 'bytes');

const countField = (minimum: number, maximum: number, unit: string) =>
  integerField({minimum, maximum}, unit);

const zoneSchema = Schema.Struct({name: nameField, region: nameField});

const classSchema = Schema.Struct({
  name: nameField,
  reservedRatio: ratioField,
});

const routeSchema = Schema.Struct({
  name: nameField,
  method: enumField(METHODS),
  path: pathField,
  className: nameField,
  repeat: enumField(['safe', 'idempotent', 'never']),
  deadlineMillis: millisField(1, 10 * MINUTE_MILLIS),
  retryBound: countField(0, 16, 'retries'),
  isPublic: Schema.Boolean.annotate({description: 'true or false'}).pipe(
    Schema.withDecodingDefaultKey(Effect.succeed(false)),
  ),
});

const apiKeySchema = Schema.Struct({name: nameField, digest: digestField});

const organisationSchema = Schema.Struct({
  name: nameField,
  priority: integerField({minimum: 0, maximum: MAX_PRIORITY}),
  ratePerSecond: numberField(
    {minimum: 0, maximum: MAX_REQUESTS_PER_SECOND},
    'requests per second',
  ),
  burstCount: countField(0, MAX_REQUESTS_PER_SECOND, 'requests'),
  apiKeys: listField(
    apiKeySchema,
    {minimum: 0, maximum: MAX_KEYS_PER_ORGANISATION},
    'API keys',
  ),
});

const serviceSchema = Schema.Struct({
  name: nameField,
  slotsCount: countField(1, MAX_CALLS_PER_UPSTREAM, 'calls'),
  connectionsCount: countField(1, MAX_CALLS_PER_UPSTREAM, 'connections'),
  queueCount: countField(0, MAX_CALLS_PER_UPSTREAM, 'calls'),
  queueWaitMillis: millisField(0, MINUTE_MILLIS),
  progressTimeoutMillis: millisField(1, 10 * MINUTE_MILLIS),
  routes: listField(
    routeSchema,
    {minimum: 1, maximum: MAX_ROUTES_PER_SERVICE},
    'routes',
  ),
});

const retryBudgetSchema = Schema.Struct({
  ratio: ratioField,
  minimumPerSecond: numberField(
    {minimum: 0, maximum: 1_000},
    'retries per second',
  ),
});

const bodiesSchema = Schema.Struct({
  requestBytes: bytesField(0, 64 * MEBIBYTE_BYTES),
  bufferedAnswerBytes: bytesField(0, 16 * MEBIBYTE_BYTES),
});

const ejectionSchema = Schema.Struct({
  consecutiveFailuresCount: countField(1, 1_000, 'failures'),
  ejectionMillis: millisField(1, 10 * MINUTE_MILLIS),
  floorRatio: ratioField,
});

const timingSchema = Schema.Struct({
  activationMillis: millisField(0, 4_000),
  slowStartMillis: millisField(0, 10 * MINUTE_MILLIS),
  drainMillis: millisField(0, HOUR_MILLIS),
  retryAfterMinimumMillis: millisField(1, 10 * MINUTE_MILLIS),
  retryAfterMaximumMillis: millisField(1, HOUR_MILLIS),
});

/** Schema of a policy document with the range of each field. */
export const policySchema: Schema.Codec<Policy, unknown> = Schema.Struct({
  formatVersion: Schema.Literal(1).annotate({
    description: 'the number 1, the only format there is',
  }),
  version: integerField({minimum: 1, maximum: Number.MAX_SAFE_INTEGER}),
  deployment: nameField,
  availabilityZones: listField(
    zoneSchema,
    {minimum: 1, maximum: MAX_ZONES},
    'availability zones',
  ),
  classes: listField(
    classSchema,
    {minimum: 1, maximum: MAX_CLASSES},
    'classes, most important first',
  ),
  services: listField(
    serviceSchema,
    {minimum: 1, maximum: MAX_SERVICES},
    'services',
  ),
  organisations: listField(
    organisationSchema,
    {minimum: 0, maximum: MAX_ORGANISATIONS},
    'organisations',
  ).pipe(Schema.withDecodingDefaultKey(Effect.succeed([]))),
  retryBudget: retryBudgetSchema,
  bodies: bodiesSchema,
  ejection: ejectionSchema,
  timing: timingSchema,
});
