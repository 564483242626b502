/**
 * Decodes what an upstream announces about itself in the headers of its
 * responses.
 */
import type {WireHeaders} from '../protocol/wire_headers.js';
import type {RawHeaders} from './raw_headers.js';

/** Announcements in one response. */
export interface Announcements {
  readonly limit: LimitAnnouncement;
  /** The upstream exits soon and must get no new requests. */
  readonly isLeaving: boolean;
}

/** Limit of the requests that an upstream accepts from all nodes together. */
export type LimitAnnouncement =
  | {readonly kind: 'none'}
  | {readonly kind: 'limited'; readonly perSecond: number}
  /** The value is not a decimal number. */
  | {readonly kind: 'invalid'; readonly text: string};

/** Names of the headers with announcements. */
export type AnnouncementHeaders = Pick<WireHeaders, 'requestLimit' | 'leaving'>;

const NO_LIMIT: LimitAnnouncement = {kind: 'none'};

const NO_ANNOUNCEMENTS: Announcements = {limit: NO_LIMIT, isLeaving: false};

const LEAVING_VALUE = '1';

const DECIMAL_PATTERN = /^\d+(\.\d+)?$/;

/** Maximum length of an invalid value in a log line. */
const MAX_LOGGED_LENGTH = 40;

/** Decodes the announcements in the headers of a response. */
export function decodeAnnouncements(
  headers: RawHeaders,
  names: AnnouncementHeaders,
): Announcements {
  let limit = NO_LIMIT;
  let isLeaving = false;
  for (let index = 0; index + 1 < headers.length; index += 2) {
    const name = headers[index] ?? '';
    const value = headers[index + 1] ?? '';
    if (isHeader(name, names.requestLimit)) {
      limit = stricterOf(limit, decodeLimit(value));
    } else if (isHeader(name, names.leaving)) {
      isLeaving ||= value.trim() === LEAVING_VALUE;
    }
  }
  if (limit === NO_LIMIT && !isLeaving) return NO_ANNOUNCEMENTS;
  return {limit, isLeaving};
}

function isHeader(name: string, lowerName: string): boolean {
  return name.length === lowerName.length && name.toLowerCase() === lowerName;
}

function decodeLimit(value: string): LimitAnnouncement {
  const text = value.trim();
  if (DECIMAL_PATTERN.test(text)) {
    return {kind: 'limited', perSecond: Number(text)};
  }
  return {kind: 'invalid', text: text.slice(0, MAX_LOGGED_LENGTH)};
}

/** Of several values in one response, the lowest valid one applies. */
function stricterOf(
  known: LimitAnnouncement,
  next: LimitAnnouncement,
): LimitAnnouncement {
  if (known.kind !== 'limited') return next;
  if (next.kind !== 'limited') return known;
  return next.perSecond < known.perSecond ? next : known;
}
