/**
 * The documents that a deployment publishes for nodes, and their decoding.
 */
import type {RouteTable} from '../../version/route_table.js';
import type {DocumentChange, DocumentSource} from './document_source.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** Result of decoding a document. */
export type Decoded<T> =
  | {readonly kind: 'valid'; readonly value: T}
  | {
      readonly kind: 'invalid';
      readonly reason: string;
      /** The first invalid field, if one can be identified. */
      readonly field?: string;
    }
  /** The document is of another kind. */
  | {readonly kind: 'other'};

/** Source of documents, with a decoder for each kind. */
export interface PublishedDocuments {
  readonly source: DocumentSource;
  readonly configurationPrefix: string;
  readonly upstreamsPrefix: string;
  /**
   * Common prefix if one watch covers both kinds; otherwise each has its own
   * watch.
   */
  readonly sharedPrefix: string | undefined;
  /**
   * Whether one document lists all upstreams: one that is missing has then
   * left.
   */
  readonly listsAllUpstreams: boolean;
  decodeConfiguration(change: DocumentChange): Decoded<RouteTable>;
  decodeUpstreams(change: DocumentChange): Decoded<readonly UpstreamEntry[]>;
  /** Returns the upstream id of a key, where each upstream has its own key. */
  upstreamIdOf(key: string): string;
}
