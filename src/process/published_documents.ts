/**
 * The documents that a deployment publishes for nodes, and how to read them.
 */
import type {RouteConfiguration} from '../version/route_configuration.js';
import type {DocumentChange, DocumentSource} from './document_source.js';
import type {UpstreamEntry} from './upstream_entry.js';

/** A decoded document. */
export type Decoded<T> =
  | {readonly kind: 'valid'; readonly value: T}
  | {readonly kind: 'invalid'; readonly reason: string}
  /** The document is not of this kind. */
  | {readonly kind: 'other'};

/** Source of documents with the decoding of each kind. */
export interface PublishedDocuments {
  readonly source: DocumentSource;
  readonly configurationPrefix: string;
  readonly upstreamsPrefix: string;
  decodeConfiguration(change: DocumentChange): Decoded<RouteConfiguration>;
  decodeUpstream(change: DocumentChange): Decoded<UpstreamEntry>;
  /** Id of the upstream that a key belongs to. */
  upstreamIdOf(key: string): string;
}
