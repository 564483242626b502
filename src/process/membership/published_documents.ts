/**
 * The documents that a deployment publishes for nodes, and how to read them.
 */
import type {RouteTable} from '../../version/route_table.js';
import type {DocumentChange, DocumentSource} from './document_source.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** A decoded document. */
export type Decoded<T> =
  | {readonly kind: 'valid'; readonly value: T}
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      /** The first field that cannot be used, where one can be named. */
      readonly field?: string;
    }
  /** The document is not of this kind. */
  | {readonly kind: 'other'};

/** Source of documents with the decoding of each kind. */
export interface PublishedDocuments {
  readonly source: DocumentSource;
  readonly configurationPrefix: string;
  readonly upstreamsPrefix: string;
  /** Prefix of both, if one watch brings both; each has its own otherwise. */
  readonly sharedPrefix: string | undefined;
  /** One document lists all upstreams, so that who is missing has left. */
  readonly listsAllUpstreams: boolean;
  decodeConfiguration(change: DocumentChange): Decoded<RouteTable>;
  decodeUpstreams(change: DocumentChange): Decoded<readonly UpstreamEntry[]>;
  /** Id of the upstream that a key belongs to, where each has its own. */
  upstreamIdOf(key: string): string;
}
