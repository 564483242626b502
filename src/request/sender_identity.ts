/**
 * Finds the organisation of a request's sender by its API key, or refuses the request.
 */
import type {RawHeaders} from '../connection/raw_headers.js';
import type {
  Organisation,
  OrganisationDirectory,
} from '../version/organisation.js';
import {readCredentials} from './credentials.js';

/** The parts of a request that identify its sender. */
export interface SenderRequest {
  readonly headers: RawHeaders;
  /** The route needs no API key. */
  readonly isPublic: boolean;
}

/** The sender of a request. */
export type SenderIdentity =
  | {
      readonly kind: 'accepted';
      /** `undefined` on public routes without a known key. */
      readonly organisation: Organisation | undefined;
    }
  | {
      readonly kind: 'refused';
      readonly reason:
        'no-api-key' | 'malformed-credentials' | 'unknown-api-key';
    };

/** Identifies the sender with the organisations of one configuration version. */
export function identifySender(
  organisations: OrganisationDirectory,
  {headers, isPublic}: SenderRequest,
): SenderIdentity {
  const credentials = readCredentials(headers);
  const organisation =
    credentials.kind === 'key'
      ? organisations.findByKey(credentials.key)
      : undefined;
  if (organisation !== undefined || isPublic) {
    return {kind: 'accepted', organisation};
  }
  switch (credentials.kind) {
    case 'none':
      return {kind: 'refused', reason: 'no-api-key'};
    case 'malformed':
      return {kind: 'refused', reason: 'malformed-credentials'};
    case 'key':
      return {kind: 'refused', reason: 'unknown-api-key'};
  }
}
