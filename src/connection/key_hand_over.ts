/**
 * Hand-over of idempotency records at a planned stop, to the hosts that become
 * home of the keys when this one has left the list.
 */
import {create} from '@bufbuild/protobuf';
import * as Effect from 'effect/Effect';
import {CapacityError} from '../base/errors.js';
import type {TimeSource} from '../base/time_source.js';
import type {FleetView} from '../process/fleet_view.js';
import type {KeptAnswer} from '../process/key_records.js';
import type {KeyTakeover} from '../process/key_takeover.js';
import type {KeyViewOwner} from '../process/key_view.js';
import {createKeyView} from '../process/key_view.js';
import type {KeptRecord, KeptRecords} from '../process/kept_records.js';
import type {Metrics} from '../process/metrics.js';
import type {PolicyStore} from '../process/policy_store.js';
import type {ViewLease} from '../process/view_lease.js';
import type {StoppableKeyRecords} from '../process/in_memory_key_records.js';
import type {KeyRecord} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import {
  KeptAnswerSchema,
  KeyOutcome,
  KeyRecordSchema,
} from '../protocol/gen/fulmarhollow/control/v1/control_pb.js';
import type {ControlClient, ControlPeer} from './control_client.js';

/** Records in one request. */
const BATCH_RECORDS_COUNT = 64;

/** Bytes of answers in one request; one answer may exceed it on its own. */
const BATCH_ANSWERS_BYTES = 256 * 1024;

const REQUEST_TIMEOUT_MILLIS = 2000;

/** What became of a hand-over. */
export interface KeyHandOverReport {
  /** Successors that hold every record meant for them. */
  readonly reachedCount: number;
  readonly failedCount: number;
  /** Whether successors were told that the records are all there is. */
  readonly isComplete: boolean;
}

/** What a hand-over works with. */
export interface KeyHandOverOptions {
  readonly hostName: string;
  readonly owner: KeyViewOwner;
  readonly incarnationMillis: number;
  readonly policies: PolicyStore;
  readonly fleet: FleetView;
  readonly client: ControlClient;
  readonly keyRecords: StoppableKeyRecords;
  readonly records: KeptRecords;
  readonly lease: ViewLease;
  readonly takeover: KeyTakeover;
  readonly timeSource: TimeSource;
  readonly metrics: Metrics;
}

/** Refuses new keys and sends the records; call when nothing is in flight. */
export function handOverKeys(
  options: KeyHandOverOptions,
): Effect.Effect<KeyHandOverReport> {
  return Effect.suspend(() => {
    options.keyRecords.stopNewKeys();
    const completeFor = fullyKnownPlacement(options);
    const isComplete = completeFor !== undefined;
    const shares = shareRecords(options);
    const sends = [...shares].map(([successor, records]) =>
      sendShare(successor, records, completeFor, options),
    );
    return Effect.map(Effect.all(sends, {concurrency: 'unbounded'}), reached =>
      report(reached, isComplete, options.metrics),
    );
  });
}

/**
 * Digest of the placement of keys for which the records cover all that was run;
 * undefined if there is none. An earlier executor may have run keys that are
 * not among them, and a successor that trusted the records would run them again.
 */
function fullyKnownPlacement(options: KeyHandOverOptions): bigint | undefined {
  const {lease, records, takeover} = options;
  if (records.runningCount > 0 || !takeover.isFullyExclusive()) {
    return undefined;
  }
  return lease.heldView()?.placementDigest;
}

/** Records by the host that becomes home of their keys. */
function shareRecords(
  options: KeyHandOverOptions,
): ReadonlyMap<ControlPeer, readonly KeptRecord[]> {
  const {hostName, owner, policies, fleet, records, timeSource} = options;
  const shares = new Map<ControlPeer, KeptRecord[]>();
  const policy = policies.newest()?.policy;
  const list = fleet.list();
  if (policy === undefined || list === undefined) return shares;
  const hosts = list.hosts.filter(host => host.name !== hostName);
  const view = createKeyView(policy, {...list, hosts}, owner);
  const sharesByName = new Map<string, KeptRecord[]>();
  for (const host of hosts) {
    if (host.service !== owner.service) continue;
    if (host.availabilityZone !== owner.availabilityZone) continue;
    const share: KeptRecord[] = [];
    sharesByName.set(host.name, share);
    shares.set(
      {
        hostName: host.name,
        address: host.address,
        controlPort: host.controlPort,
      },
      share,
    );
  }
  records.forgetBefore(timeSource.monotonicMillis());
  for (const record of records.finished()) {
    const successorName = view.homeOf(record.key, owner.service);
    if (successorName === undefined) continue;
    sharesByName.get(successorName)?.push(record);
  }
  return shares;
}

/**
 * Sends one successor its share in order; true if it accepted everything. No
 * request is sent twice: the successor counts records to see whether it has
 * them all, and a repeat would make up for one that it has lost.
 */
function sendShare(
  peer: ControlPeer,
  records: readonly KeptRecord[],
  completeFor: bigint | undefined,
  options: KeyHandOverOptions,
): Effect.Effect<boolean> {
  const nowMillis = options.timeSource.monotonicMillis();
  const batches = splitIntoBatches(
    records.map(record => toMessage(record, nowMillis)),
  );
  const sendBatch = (batch: readonly KeyRecord[], index: number) =>
    options.client
      .handOverKeys(
        peer,
        {
          fromHostName: options.hostName,
          fromIncarnationMillis: BigInt(options.incarnationMillis),
          records: [...batch],
          isComplete: completeFor !== undefined && index === batches.length - 1,
          totalCount: records.length,
          placementDigest: completeFor ?? 0n,
        },
        REQUEST_TIMEOUT_MILLIS,
      )
      .pipe(
        Effect.flatMap(({acceptedCount}) =>
          acceptedCount === batch.length
            ? Effect.void
            : Effect.fail(
                new CapacityError('Records refused.', {
                  props: {step: 'hand-over-keys', peer: peer.hostName},
                }),
              ),
        ),
      );
  return Effect.forEach(batches, sendBatch, {discard: true}).pipe(
    Effect.match({onSuccess: () => true, onFailure: () => false}),
  );
}

/** At least one batch, so that a successor without a share hears of the end. */
function splitIntoBatches(
  records: readonly KeyRecord[],
): readonly (readonly KeyRecord[])[] {
  const batches: KeyRecord[][] = [[]];
  let answersBytes = 0;
  for (const record of records) {
    const bytes = record.answer?.body.byteLength ?? 0;
    const last = batches.at(-1) ?? [];
    const isFull =
      last.length >= BATCH_RECORDS_COUNT ||
      (last.length > 0 && answersBytes + bytes > BATCH_ANSWERS_BYTES);
    if (isFull) {
      batches.push([record]);
      answersBytes = bytes;
    } else {
      last.push(record);
      answersBytes += bytes;
    }
  }
  return batches;
}

function toMessage(record: KeptRecord, nowMillis: number): KeyRecord {
  const {key, fingerprint, result, forgetAtMillis} = record;
  const answer = result?.kind === 'ran' ? result.answer : undefined;
  return create(KeyRecordSchema, {
    key,
    fingerprint,
    outcome: result?.kind === 'ran' ? KeyOutcome.RAN : KeyOutcome.UNKNOWN,
    remainingMillis: BigInt(Math.ceil(forgetAtMillis - nowMillis)),
    answer: answer && toAnswerMessage(answer),
  });
}

function toAnswerMessage(answer: KeptAnswer): KeyRecord['answer'] {
  return create(KeptAnswerSchema, {
    statusCode: answer.statusCode,
    headers: answer.headers.map(([name, value]) => ({name, value})),
    body: answer.body,
  });
}

function report(
  reached: readonly boolean[],
  isComplete: boolean,
  metrics: Metrics,
): KeyHandOverReport {
  const reachedCount = reached.filter(Boolean).length;
  const failedCount = reached.length - reachedCount;
  metrics.increment('keys.hand_overs', {result: 'reached'}, reachedCount);
  metrics.increment('keys.hand_overs', {result: 'failed'}, failedCount);
  return {reachedCount, failedCount, isComplete};
}
