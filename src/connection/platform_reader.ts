/**
 * Reads the platform on behalf of the mesh: as one of its zone's readers, as an
 * isolated node, or rarely as a safety net.
 */
import * as Effect from 'effect/Effect';
import * as Fiber from 'effect/Fiber';
import type {Disposable} from '../base/lifecycle.js';
import {createDisposableStore, toDisposable} from '../base/lifecycle.js';
import type {Event} from '../base/event.js';
import type {FleetView} from '../process/fleet_view.js';
import type {Logger} from '../process/logger.js';
import type {Metrics} from '../process/metrics.js';
import type {SelectingHost} from '../process/peer_selection.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {ControlSettings} from '../process/settings.js';
import type {JsonValue} from '../process/state_dump.js';
import type {ViewFreshness} from '../process/view_freshness.js';
import type {
  PlatformAnswer,
  PlatformClient,
  PlatformDocument,
} from './platform_client.js';
import type {ReadResult} from './platform_health.js';
import {createPlatformHealth} from './platform_health.js';
import type {ReaderRole} from './reader_role.js';
import {createReaderRoleTracker} from './reader_role.js';

type Answered = Exclude<ReadResult, 'failed'>;

/** Results that show a platform that is not behind this node. */
const CURRENT_RESULTS: ReadonlySet<ReadResult> = new Set<ReadResult>([
  'accepted',
  'already-held',
  'unchanged',
]);

const DOCUMENTS: readonly PlatformDocument[] = ['policy', 'host-list'];

/** The document whose task guards both. */
const GUARDED_DOCUMENT: PlatformDocument = 'policy';

/** Shortest time between two questions about one document. */
const PAUSE_MILLIS = 100;
const ISOLATED_READ_MILLIS = 2_000;
const FIRST_BACKOFF_MILLIS = 500;
const LONGEST_BACKOFF_MILLIS = 10_000;

/** Time beyond a watch after which the readers count as gone. */
const SILENT_READERS_MILLIS = 10_000;

/** Mean time between two safety reads, for a zone of one reader and one host. */
const SAFETY_READ_MILLIS = 5_000;

/** The node's reading of the platform. */
export abstract class PlatformReader implements Disposable {
  /** Starts to read, after the first picture is settled. */
  abstract start(): void;
  abstract role(): ReaderRole;
  /** Content of the dump's section `platform`. */
  abstract describe(): JsonValue;
  abstract dispose(): void;
}

/** Options of `createPlatformReader`. */
export interface PlatformReaderOptions {
  readonly own: SelectingHost;
  readonly settings: ControlSettings;
  readonly client: PlatformClient;
  readonly policyStore: PolicyStore;
  readonly fleetView: FleetView;
  readonly freshness: ViewFreshness;
  readonly metrics: Metrics;
  readonly logger: Logger;
  /** Open streams to peers. */
  readonly openLinksCount: () => number;
  readonly onDidChangeLinks: Event<number>;
}

/** Creates a reader that does not read yet. */
export function createPlatformReader(
  options: PlatformReaderOptions,
): PlatformReader {
  const {own, settings, client, policyStore, fleetView} = options;
  const {freshness, metrics, logger} = options;
  const store = createDisposableStore();
  const health = createPlatformHealth(logger);
  const {zoneReadersCount} = settings;
  const tracker = store.add(
    createReaderRoleTracker({...options, zoneReadersCount}),
  );

  function heldVersion(document: PlatformDocument): number {
    if (document === 'host-list') return fleetView.listRevision();
    return policyStore.newest()?.version ?? 0;
  }

  function offer(document: PlatformDocument, bytes: Uint8Array): Answered {
    const result =
      document === 'policy'
        ? policyStore.offer(bytes, 'platform')
        : fleetView.offerList(bytes, 'platform');
    return result.kind;
  }

  function take(document: PlatformDocument, answer: PlatformAnswer): Answered {
    if (answer.kind === 'document') return offer(document, answer.bytes);
    const {heldVersion: theirs} = answer;
    // A platform that is behind says so only in the etag.
    const isStale = theirs !== undefined && theirs < heldVersion(document);
    return isStale ? 'older' : 'unchanged';
  }

  function learn(document: PlatformDocument, answer: PlatformAnswer): Answered {
    const result = take(document, answer);
    health.report(document, result);
    const isCurrent = CURRENT_RESULTS.has(result);
    if (isCurrent) freshness.learnPlatformAge(0);
    if (isCurrent && document === 'host-list') freshness.confirm('platform');
    return result;
  }

  /** Asks once; `waitMillis` makes it a watch. */
  function ask(
    document: PlatformDocument,
    waitMillis?: number,
  ): Effect.Effect<ReadResult> {
    const query = Effect.suspend(() => {
      const afterVersion = heldVersion(document);
      return client.get({document, afterVersion, waitMillis});
    });
    return query.pipe(
      Effect.map((answer): ReadResult => learn(document, answer)),
      Effect.catch(error => {
        health.fail(document, error);
        return Effect.succeed<ReadResult>('failed');
      }),
      Effect.tap(result =>
        Effect.sync(() => {
          const role = tracker.role();
          metrics.increment('platform.reads', {document, role, result});
        }),
      ),
    );
  }

  /** Holds one watch after another while elected. */
  function keepWatching(document: PlatformDocument): Effect.Effect<never> {
    return Effect.gen(function* () {
      let failuresCount = 0;
      while (true) {
        const result = yield* ask(document, settings.platformWatchMillis);
        const isUseful = result === 'accepted' || result === 'unchanged';
        failuresCount = isUseful ? 0 : failuresCount + 1;
        yield* Effect.sleep(pauseMillis(failuresCount));
      }
    });
  }

  function keepReading(document: PlatformDocument): Effect.Effect<never> {
    return Effect.gen(function* () {
      while (true) {
        yield* ask(document, undefined);
        yield* Effect.sleep(jitter(ISOLATED_READ_MILLIS));
      }
    });
  }

  /**
   * All readers of a zone that is cut off may be gone without having said so;
   * the age of the platform's latest answer then grows on all its nodes. The
   * nodes share out one low rate of reads among them. Both documents are read
   * together: an answer about one hides the age from a guard of the other.
   */
  function guardReaders(): Effect.Effect<never> {
    return Effect.gen(function* () {
      while (true) {
        yield* Effect.sleep(jitter(safetyIntervalMillis()));
        if (!isReadersSilent()) continue;
        yield* Effect.all(DOCUMENTS.map(document => ask(document)));
      }
    });
  }

  function isReadersSilent(): boolean {
    const ageMillis = freshness.platformAgeMillis() ?? Number.POSITIVE_INFINITY;
    return ageMillis > settings.platformWatchMillis + SILENT_READERS_MILLIS;
  }

  function safetyIntervalMillis(): number {
    const hostsCount = fleetView.hostsIn(own.availabilityZone).length;
    const readersCount = Math.max(1, settings.zoneReadersCount);
    return SAFETY_READ_MILLIS * Math.max(1, hostsCount / readersCount);
  }

  /** Acts by the role until it changes, then by the next. */
  function serve(document: PlatformDocument): Effect.Effect<never> {
    return Effect.gen(function* () {
      while (true) {
        const task = taskOf(tracker.role(), document);
        yield* Effect.raceFirst(task, awaitRoleChange(tracker.onDidChange));
      }
    });
  }

  function taskOf(
    role: ReaderRole,
    document: PlatformDocument,
  ): Effect.Effect<never> {
    switch (role) {
      case 'reader':
        return keepWatching(document);
      case 'isolated':
        return keepReading(document);
      case 'standby':
        return document === GUARDED_DOCUMENT ? guardReaders() : Effect.never;
    }
  }

  return new (class extends PlatformReader {
    override start(): void {
      for (const document of DOCUMENTS) {
        const fiber = Effect.runFork(serve(document));
        store.add(
          toDisposable(() => {
            Effect.runFork(Fiber.interrupt(fiber));
          }),
        );
      }
    }
    override role(): ReaderRole {
      return tracker.role();
    }
    override describe(): JsonValue {
      return {
        role: tracker.role(),
        latestResults: health.describe(),
        latestAnswerAgeMillis: freshness.platformAgeMillis() ?? null,
      };
    }
    override dispose(): void {
      store.dispose();
    }
  })();
}

function awaitRoleChange(event: Event<ReaderRole>): Effect.Effect<ReaderRole> {
  return Effect.callback<ReaderRole>(resume => {
    const subscription = event(role => {
      subscription.dispose();
      resume(Effect.succeed(role));
    });
    return Effect.sync(() => {
      subscription.dispose();
    });
  });
}

/** Pause before the next watch; grows with failures, jittered. */
function pauseMillis(failuresCount: number): number {
  if (failuresCount === 0) return PAUSE_MILLIS;
  const fullMillis = FIRST_BACKOFF_MILLIS * 2 ** (failuresCount - 1);
  return jitter(Math.min(fullMillis, LONGEST_BACKOFF_MILLIS));
}

/** Half to one and a half times a duration, so that nodes do not act in step. */
function jitter(millis: number): number {
  return millis * (0.5 + Math.random());
}
