/**
 * Receives what the local upstream announces in its responses.
 */
import type {Announcements} from '../connection/announcements.js';
import type {ExecutionCall} from '../connection/execution.js';

/** Records requests to, and announcements in responses of, the local upstream. */
export interface AnnouncementObserver {
  /** Records that a request is dispatched. */
  recordDispatch(call: Pick<ExecutionCall, 'attemptId' | 'origin'>): void;
  /** Records the announcements in a response. */
  observe(announcements: Announcements, source: AnnouncementSource): void;
}

/** Where announcements come from. */
export interface AnnouncementSource {
  /** Id of the upstream that responded; `undefined` if it is not known. */
  readonly upstreamId: string | undefined;
  /** Time at which the request was sent. */
  readonly sentMillis: number;
}
